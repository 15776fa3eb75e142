package claim_test

import (
	"slices"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// entry is one log entry. Its id distinguishes entries with the same position.
type entry struct {
	term uint64
	id   int
}

// server is a model of an endpoint with the rules on terms that the platform
// guarantees.
type server struct {
	claim.Status
	address string
	log     []entry
	down    bool
	// rejectsPromotion makes the server refuse promotions.
	rejectsPromotion bool
}

func (s *server) end() logpos.Position {
	if len(s.log) == 0 {
		return logpos.Position{}
	}
	return logpos.Position{Term: s.log[len(s.log)-1].term, Offset: uint64(len(s.log))}
}

// run processes a call of the holder; ok is false if the server refuses it.
func (s *server) run(c claim.Call, holder string, marker int) (ok bool) {
	switch {
	case c.Kind == claim.CallStatus:
	case c.Kind == claim.CallAdvance:
		if c.Term < s.Term || c.Term == s.Term && holder != s.Holder {
			return false
		}
		if c.Term > s.Term && s.Role == claim.RolePrimary {
			s.Role = claim.RoleFenced
		}
		s.Term, s.Holder = c.Term, holder
	case c.Term != s.Term || holder != s.Holder || c.Kind == claim.CallPromote && s.rejectsPromotion:
		return false
	case c.Kind == claim.CallPromote:
		s.Role, s.AppointedTerm, s.Primary = claim.RolePrimary, c.Term, ""
		s.log = append(s.log, entry{c.Term, marker})
	case c.Kind == claim.CallFollow:
		s.Role, s.AppointedTerm, s.Primary = claim.RoleReplica, c.Term, c.Primary
	}
	s.Received = s.end()
	return true
}

// replicate truncates the server's log to the part that it has in common with the
// primary's log, and then copies up to n entries from the primary.
func (s *server) replicate(p *server, n int) {
	if s.Role != claim.RoleReplica || p == nil || p.Role != claim.RolePrimary || p.Term != s.Term || s.down || p.down {
		return
	}
	same := 0
	for same < min(len(s.log), len(p.log)) && s.log[same] == p.log[same] {
		same++
	}
	s.log = append(slices.Clone(s.log[:same]), p.log[same:min(len(p.log), same+n)]...)
	s.Received = s.end()
}
