package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// Limits of the search for an owner.
const (
	locateTimeout  = 300 * time.Millisecond
	locateInterval = 100 * time.Millisecond
)

// locator finds the owner of a pool from the View, from answers that name it,
// and by asking the pool's candidates.
type locator struct {
	cfg    Config
	lookup singleflight.Group

	mu      sync.Mutex
	learned map[string]*peerv1.Location
}

// newLocator returns a locator that has learned nothing.
func newLocator(cfg Config) *locator {
	return &locator{cfg: cfg, learned: make(map[string]*peerv1.Location)}
}

// best returns the owner of the highest known term, nil if none is known.
func (l *locator) best(pool string) *peerv1.Location {
	l.mu.Lock()
	learned := l.learned[pool]
	l.mu.Unlock()
	group, ok := l.cfg.Views.View().Groups.Get(pool)
	if !ok {
		return nil
	}
	if group.OwnerAddress == "" || learned.GetTerm() > group.Term {
		return learned
	}
	return &peerv1.Location{
		Address:     group.OwnerAddress,
		Incarnation: group.OwnerIncarnation,
		Term:        group.Term,
	}
}

// learn records an owner unless a later one is known.
func (l *locator) learn(pool string, loc *peerv1.Location) {
	if loc.GetAddress() == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if loc.GetTerm() >= l.learned[pool].GetTerm() {
		l.learned[pool] = loc
	}
}

// next returns an owner other than failed. If none is found within patience,
// it returns failed again; without any owner it waits until ctx ends and
// returns nil.
func (l *locator) next(ctx context.Context, pool string, failed *peerv1.Location, patience time.Duration) *peerv1.Location {
	start := time.Now()
	for {
		changed := l.cfg.Views.Changed()
		loc := l.best(pool)
		if loc != nil && (!sameOwner(loc, failed) || time.Since(start) >= patience) {
			return loc
		}
		wait := jitter(locateInterval)
		if loc != nil {
			wait = min(wait, patience-time.Since(start))
		}
		if !l.wait(ctx, pool, changed, wait) {
			return nil
		}
	}
}

// wait waits for news of the owner, at most for d; false if ctx ended.
func (l *locator) wait(ctx context.Context, pool string, changed <-chan struct{}, d time.Duration) bool {
	asked := l.lookup.DoChan(pool, func() (any, error) {
		l.ask(pool)
		return nil, nil
	})
	timer := time.NewTimer(max(d, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-asked:
	case <-timer.C:
		return true
	}
	// The candidates have answered; if that did not help, the rest of the
	// interval passes before they are asked again.
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// ask asks all candidates of a pool at once and learns the owner of the highest
// term.
func (l *locator) ask(pool string) {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	var done sync.WaitGroup
	for _, address := range l.cfg.Views.View().Group(pool).Candidates {
		done.Go(func() {
			if loc, err := l.cfg.Peers.Locate(ctx, address, pool); err == nil {
				l.learn(pool, loc)
			}
		})
	}
	done.Wait()
}

// sameOwner reports whether two locations name the same owner, process run and
// term.
func sameOwner(a, b *peerv1.Location) bool {
	return b != nil &&
		a.GetAddress() == b.GetAddress() &&
		a.GetIncarnation() == b.GetIncarnation() &&
		a.GetTerm() == b.GetTerm()
}

// jitter returns a time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
