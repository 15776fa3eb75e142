package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// demotionTimeout limits how long a demotion is repeated that the old primary rejects for lack of
// room. Once all hosts have stopped using it, its queue is empty within a few statements.
const demotionTimeout = 200 * time.Millisecond

// maxDemotingHosts limits how many other hosts are asked to pass the demotion on. One suffices
// unless it is cut off at that moment.
const maxDemotingHosts = 2

// errNotDemoted means that the old primary did not answer that it has become a replica.
var errNotDemoted = errors.New("the old primary did not become a replica")

// hostsReachingPrimary returns the addresses of some hosts that the primary has just answered
// directly.
func (p *hostPoll) hostsReachingPrimary() []string {
	var out []string
	for address, r := range p.replies {
		if len(out) < maxDemotingHosts && r.reachesPrimary() {
			out = append(out, address)
		}
	}
	return out
}

// demote makes the old primary a replica if this host or one of the others reaches it. It then
// commits no write that is still on its way, and serves no host that does not know of the failover
// yet. A network partition may separate the primary from this host only.
func (f *failover) demote(ctx context.Context, others []string) {
	if f.oldPrimary == nil || f.reason == succession.ReasonUnclaimed {
		return
	}
	st := session.Statement{Op: session.OpDemote, Args: strconv.FormatUint(f.term+1, 10)}
	s, err := f.demoteDirectly(ctx, st)
	f.controller.gw.events.log.Info().Str("group", f.group.name).Str("endpoint", f.oldPrimary.ID).Bool("primary", s.Primary).
		Uint64("term", s.Term).Stringer("received", s.Received).AnErr("error", err).Msg("old primary asked to become a replica")
	if err == nil {
		return
	}
	var wg sync.WaitGroup
	for _, address := range others {
		wg.Go(f.controller.guarded("demote through another host", func() {
			err := f.demoteThrough(ctx, address, st)
			f.controller.gw.events.log.Info().Str("group", f.group.name).Str("endpoint", f.oldPrimary.ID).Str("through", address).
				AnErr("error", err).Msg("old primary asked through another host to become a replica")
		}))
	}
	wg.Wait()
}

// demoteDirectly sends the statement to the old primary, again if that has no room for it. A
// statement that waits for a slot there could otherwise commit after the promotion.
func (f *failover) demoteDirectly(ctx context.Context, st session.Statement) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	until := time.Now().Add(demotionTimeout)
	for {
		s, err := f.controller.gw.pool.runCommand(ctx, f.oldPrimary, st)
		if !errors.Is(err, errStatusRefused) || time.Now().After(until) {
			return s, err
		}
		wait.Sleep(ctx, statusPollInterval)
	}
}

// demoteThrough sends the statement through the host at the address.
func (f *failover) demoteThrough(ctx context.Context, address string, st session.Statement) error {
	ctx, cancel := context.WithTimeout(ctx, primaryReportTimeout)
	defer cancel()
	f.group.mu.Lock()
	e := f.oldPrimary.Endpoint
	f.group.mu.Unlock()
	relay := f.controller.gw.cfg.Peers.Relay(address, e)
	defer relay.Close()
	deadline, _ := ctx.Deadline()
	reply, err := relay.Run(deadline, RelayRequest{Request: Request{Statement: st}})
	if err == nil && !reply.OK() {
		err = errors.Wrapf(errNotDemoted, "%s", reply.Detail)
	}
	return err
}
