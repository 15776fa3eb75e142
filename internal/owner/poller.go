package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// pollPause is the shortest pause between two polls of an endpoint while a
	// confirmation waits; it doubles up to pollPauseMax while nothing new arrives,
	// so that a replica that is far behind is not polled in a busy loop.
	pollPause    = 200 * time.Microsecond
	pollPauseMax = 5 * time.Millisecond
)

// poller polls the status of one endpoint while confirmations wait. All waiting
// confirmations of the group share its polls.
type poller struct {
	g       *group
	address string
	term    uint64
	wanted  chan struct{}
	cancel  context.CancelFunc
}

func startPoller(g *group, address string, term uint64) *poller {
	ctx, cancel := context.WithCancel(context.Background())
	p := &poller{g: g, address: address, term: term, wanted: make(chan struct{}, 1), cancel: cancel}
	go p.run(ctx)
	return p
}

func (p *poller) stop() { p.cancel() }

// want makes the poller run until no confirmation waits.
func (p *poller) want() {
	select {
	case p.wanted <- struct{}{}:
	default:
	}
}

func (p *poller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wanted:
		}
		p.pollWhileWanted(ctx)
	}
}

func (p *poller) pollWhileWanted(ctx context.Context) {
	pause := pollPause
	for p.g.confirmationsWait() && ctx.Err() == nil {
		if p.pollOnce(ctx) {
			pause = pollPause
		} else {
			pause = min(2*pause, pollPauseMax)
		}
		wait.Sleep(ctx, pause)
	}
}

// pollOnce reports whether the poll brought the confirmed position forward.
func (p *poller) pollOnce(ctx context.Context) bool {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := p.g.cfg.GroupControl.Status(ctx, p.address)
	if err != nil {
		p.g.cfg.Controller.ReportEndpointError(p.g.name, p.address)
		return false
	}
	if st.Term > p.term {
		p.g.cfg.Controller.ReportTerm(p.g.name, st.Term)
	}
	return p.g.observePoll(p.term, p.address, control.EndpointView{EndpointStatus: st, PolledAt: started, Reachable: true})
}

func (g *group) confirmationsWait() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirming > 0
}

func (g *group) observePoll(term uint64, addr string, ep control.EndpointView) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term != g.term {
		return false
	}
	before := g.tracker.Received()
	seen := g.tracker.LeaseStart()
	g.observe(addr, ep)
	_, superseded := g.tracker.Superseded()
	moved := before.Less(g.tracker.Received())
	if moved || superseded || g.tracker.LeaseStart().After(seen) {
		g.broadcast()
	}
	return moved
}
