package gateway

import (
	"strings"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// maxSessionStateBytes limits the values and prepared statements of all sessions of a host.
// 300 prepared statements of 0.9 MB in one session took 273 MB; the smallest hosts have 136 MB.
const maxSessionStateBytes = 32 << 20

// stateEntryBytes is the memory that a value or a prepared statement takes besides its texts.
// 1,000,000 prepared statements with 10 bytes of text took 119 bytes each; maps grow in steps.
const stateEntryBytes = 160

// changeState answers a statement that changes the session's values or prepared statements.
// One that would exceed the limit of the host is refused; the session's state stays as it is.
func (s *sessionServer) changeState(st session.Statement) Reply {
	added := int64(len(st.Name) + len(st.Args))
	if st.Op != session.OpDeallocate && s.gateway.sessionStateBytes.Load()+added > maxSessionStateBytes {
		return s.refuse(CodeBusy, metrics.RefusedSessionState)
	}
	if st.Op != session.OpDeallocate {
		if err := s.account.Keep(added + stateEntryBytes); err != nil {
			return s.refuse(CodeBusy, metrics.RefusedSessionState)
		}
		s.kept += added + stateEntryBytes
		// The rest of the message is not kept.
		st.Name, st.Args = strings.Clone(st.Name), strings.Clone(st.Args)
	}
	before := s.state.Bytes()
	switch st.Op {
	case session.OpSet:
		s.state.Set(st.Name, st.Args)
	case session.OpPrepare:
		s.state.Prepare(st.Name, st.Args, st.Writes)
	default:
		s.state.Deallocate(st.Name)
	}
	s.gateway.sessionStateBytes.Add(int64(s.state.Bytes() - before))
	s.forgetReplaced()
	return s.newReply(CodeNone, "")
}

// forgetReplaced gives back what the account was charged for values and prepared statements that were
// replaced or removed.
func (s *sessionServer) forgetReplaced() {
	size := int64(s.state.Bytes()) + int64(s.state.Entries())*stateEntryBytes
	s.account.Forget(s.kept - size)
	s.kept = size
}
