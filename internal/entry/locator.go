package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

const (
	// locateTimeout is the timeout of one query of the candidates for the owner.
	locateTimeout = 300 * time.Millisecond
	// locateInterval is the time between two such queries.
	locateInterval = 100 * time.Millisecond
)

// locator finds the owner of a pool: from the View, from answers that name the owner, and
// by asking the hosts that are candidates for the pool.
type locator struct {
	cfg    Config
	lookup singleflight.Group

	mu      sync.Mutex
	learned map[string]*peerv1.Location
}

// newLocator returns a locator that knows only the View.
func newLocator(cfg Config) *locator {
	return &locator{cfg: cfg, learned: make(map[string]*peerv1.Location)}
}

// latestKnown returns the known owner with the highest term, nil if none is known.
func (l *locator) latestKnown(pool string) *peerv1.Location {
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

// learn records an owner unless one with a higher term is known.
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

// findOwner returns an owner other than failed. If it finds none within ownerWait, it
// returns failed again. If no owner is known at all, it waits until ctx ends and returns
// nil.
func (l *locator) findOwner(ctx context.Context, pool string, failed *peerv1.Location, ownerWait time.Duration) *peerv1.Location {
	start := time.Now()
	for {
		changed := l.cfg.Views.Changed()
		loc := l.latestKnown(pool)
		if loc != nil && (!sameOwner(loc, failed) || time.Since(start) >= ownerWait) {
			return loc
		}
		wait := jitter(locateInterval)
		if loc != nil {
			wait = min(wait, ownerWait-time.Since(start))
		}
		if !l.waitForUpdate(ctx, pool, changed, wait) {
			return nil
		}
	}
}

// waitForUpdate queries the candidates and waits until the View changes, but at most for
// maxWait. It returns false if ctx ended.
func (l *locator) waitForUpdate(ctx context.Context, pool string, changed <-chan struct{}, maxWait time.Duration) bool {
	asked := l.lookup.DoChan(pool, func() (any, error) {
		l.queryCandidates(pool)
		return nil, nil
	})
	timer := time.NewTimer(max(maxWait, time.Millisecond))
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
	// The candidates have answered. Wait for the rest of the interval, so that they are
	// not asked again at once if they did not know the owner.
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// queryCandidates asks all candidates of a pool in parallel for the owner and records the
// one with the highest term.
func (l *locator) queryCandidates(pool string) {
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

// sameOwner reports whether two locations name the same owner with the same incarnation
// and term.
func sameOwner(a, b *peerv1.Location) bool {
	return b != nil &&
		a.GetAddress() == b.GetAddress() &&
		a.GetIncarnation() == b.GetIncarnation() &&
		a.GetTerm() == b.GetTerm()
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
