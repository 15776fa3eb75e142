package control

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/placement"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// group is the loop's state of one pool.
type group struct {
	pool manifest.Pool
	// ranked are the best hosts in placement, candidates their addresses.
	ranked     []placement.Host
	candidates []string
	// machine is nil while this daemon has no part in the group.
	machine *claim.Machine
	// state is the machine's state in the last View.
	state claim.State
	// lease is the cell of the owned term; nil while the group is not owned.
	lease *leaseCell
	// owner and heardAt are the last heartbeat, while there is no machine.
	owner   claim.Owner
	heardAt time.Time
	// announced is the term of the last heartbeat as owner.
	announced uint64
}

// view returns the group's part of a View.
func (g *group) view() GroupView {
	v := GroupView{
		Pool:             g.pool,
		Candidates:       g.candidates,
		OwnerAddress:     g.owner.Address,
		OwnerIncarnation: g.owner.Incarnation,
		Term:             g.owner.Term,
	}
	if g.machine == nil {
		return v
	}
	s := g.state
	v.Owned, v.Term, v.Primary, v.Marker = s.Owned, s.Term, s.Primary, s.Marker
	v.PromotionPoint, v.ConfirmAfter = s.PromotionPoint, s.ConfirmAfter
	v.LeaseStart, v.InTransition = s.LeaseStart, s.InTransition
	v.OwnerAddress, v.OwnerIncarnation = s.Owner.Address, s.Owner.Incarnation
	v.lease = g.lease
	v.Endpoints = endpointViews(s.Endpoints)
	return v
}
