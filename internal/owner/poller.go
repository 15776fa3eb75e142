package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// minPollPause is the pause between two polls of an endpoint while confirmations are
	// pending. It doubles up to maxPollPause while the polls return nothing new, so that
	// a replica that is far behind is not polled in a busy loop.
	minPollPause = 200 * time.Microsecond
	maxPollPause = 5 * time.Millisecond
)

// poller polls the status of one endpoint while confirmations are pending. All pending
// confirmations of the group share its polls.
type poller struct {
	group     *group
	address   string
	term      uint64
	requested chan struct{}
	cancel    context.CancelFunc
}

func startPoller(g *group, address string, term uint64) *poller {
	ctx, cancel := context.WithCancel(context.Background())
	p := &poller{group: g, address: address, term: term, requested: make(chan struct{}, 1), cancel: cancel}
	go p.loop(ctx)
	return p
}

func (p *poller) stop() { p.cancel() }

// requestPoll makes the poller poll until no confirmation is pending.
func (p *poller) requestPoll() {
	select {
	case p.requested <- struct{}{}:
	default:
	}
}

func (p *poller) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.requested:
		}
		p.pollWhileNeeded(ctx)
	}
}

func (p *poller) pollWhileNeeded(ctx context.Context) {
	pause := minPollPause
	for p.group.hasPendingConfirmations() && ctx.Err() == nil {
		if p.pollOnce(ctx) {
			pause = minPollPause
		} else {
			pause = min(2*pause, maxPollPause)
		}
		wait.Sleep(ctx, pause)
	}
}

// pollOnce polls the endpoint once. It reports whether the position that a majority
// has received has advanced.
func (p *poller) pollOnce(ctx context.Context) bool {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := p.group.cfg.GroupControl.Status(ctx, p.address)
	if err != nil {
		p.group.cfg.Controller.ReportEndpointError(p.group.name, p.address)
		return false
	}
	if st.Term > p.term {
		p.group.cfg.Controller.ReportTerm(p.group.name, st.Term)
	}
	return p.group.observePoll(p.term, p.address, control.EndpointView{EndpointStatus: st, PolledAt: started, Reachable: true})
}

func (g *group) hasPendingConfirmations() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pendingConfirmations > 0
}

// observePoll records the result of a poll made for confirmations. It reports whether
// the position that a majority has received has advanced.
func (g *group) observePoll(term uint64, addr string, ep control.EndpointView) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term != g.term {
		return false
	}
	before := g.tracker.Received()
	leaseStart := g.tracker.LeaseStart()
	g.observe(addr, ep)
	_, superseded := g.tracker.Superseded()
	advanced := before.Less(g.tracker.Received())
	if advanced || superseded || g.tracker.LeaseStart().After(leaseStart) {
		g.broadcast()
	}
	return advanced
}
