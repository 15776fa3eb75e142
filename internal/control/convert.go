package control

import (
	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

func claimStatus(s platform.EndpointStatus) claim.Status {
	return claim.Status{
		Role:          claimRole(s.Role),
		Term:          s.Term,
		Holder:        s.Holder,
		AppointedTerm: s.AppointedTerm,
		Primary:       s.Primary,
		Received:      s.Received,
		Applied:       s.Applied,
	}
}

func claimRole(r platform.Role) claim.Role {
	switch r {
	case platform.RolePrimary:
		return claim.RolePrimary
	case platform.RoleFenced:
		return claim.RoleFenced
	default:
		return claim.RoleReplica
	}
}

func platformRole(r claim.Role) platform.Role {
	switch r {
	case claim.RolePrimary:
		return platform.RolePrimary
	case claim.RoleFenced:
		return platform.RoleFenced
	default:
		return platform.RoleReplica
	}
}

func endpointViews(states map[string]claim.EndpointState) map[string]EndpointView {
	views := make(map[string]EndpointView, len(states))
	for address, s := range states {
		views[address] = EndpointView{
			EndpointStatus: platform.EndpointStatus{
				Role:          platformRole(s.Status.Role),
				Term:          s.Status.Term,
				Holder:        s.Status.Holder,
				AppointedTerm: s.Status.AppointedTerm,
				Primary:       s.Status.Primary,
				Received:      s.Status.Received,
				Applied:       s.Status.Applied,
			},
			PolledAt:  s.PolledAt,
			Reachable: s.Reachable,
		}
	}
	return views
}

func claimEndpoints(p manifest.Pool) []claim.Endpoint {
	es := make([]claim.Endpoint, len(p.Endpoints))
	for i, e := range p.Endpoints {
		es[i] = claim.Endpoint{Address: e.Address, Leaving: e.Leaving}
	}
	return es
}
