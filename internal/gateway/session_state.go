package gateway

import (
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// maxSessionStateBytes limits the values and prepared statements of all sessions of a host.
// 300 prepared statements of 0.9 MB in one session took 273 MB; the smallest hosts have 136 MB.
const maxSessionStateBytes = 32 << 20

// changeState answers a statement that changes the session's values or prepared statements.
// One that would exceed the limit of the host is refused; the session's state stays as it is.
func (s *sessionServer) changeState(st session.Statement) Reply {
	added := int64(len(st.Name) + len(st.Args))
	if st.Op != session.OpDeallocate && s.gateway.sessionStateBytes.Load()+added > maxSessionStateBytes {
		return s.refuse(CodeBusy, metrics.RefusedSessionState)
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
	return s.newReply(CodeNone, "")
}
