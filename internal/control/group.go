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
	// rankedHosts are the hosts that rank highest in placement, best first;
	// candidates are their addresses.
	rankedHosts []placement.Host
	candidates  []string
	// machine is set while this daemon is a candidate of the group, owns it or
	// claims it; otherwise it is nil.
	machine *claim.Machine
	// state is the machine's state after its last step.
	state claim.State
	// lease is the lease of the owned term; nil while the group is not owned.
	lease *sharedLease
	// owner is the sender of the last owner heartbeat, and lastHeartbeat the time
	// of its arrival. They are used only while machine is nil.
	owner         claim.Owner
	lastHeartbeat time.Time
	// announcedTerm is the last owned term for which an immediate heartbeat was
	// scheduled.
	announcedTerm uint64
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
