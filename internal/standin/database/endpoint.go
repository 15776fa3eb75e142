package database

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// endpoint is the state of one endpoint behind its connections.
//
// Lock order: writeLock, a writeTx, mu.
type endpoint struct {
	dir    string
	store  *store
	faults *faultBox
	slots  *semaphore.Weighted
	// statements counts the statements that took a slot.
	statements atomic.Int64
	// writeLock admits one write transaction of the engine at a time: a client's,
	// the arrival of log entries, their application or a promotion.
	writeLock *semaphore.Weighted
	catalog   *catalog

	// mu guards the fields below. It is held over each commit together with the
	// check of the term, so that no commit follows an advance of the term, and no
	// reported position is below what a read has seen.
	mu       sync.RWMutex
	state    controlState
	received logpos.Position
	applied  logpos.Position
	tail     logTail
	active   *writeTx
	// grown is closed and replaced when received, applied or state changes.
	grown chan struct{}
}

func openEndpoint(cfg Config, faults *faultBox) (*endpoint, error) {
	st, err := openStore(cfg.DataDir)
	if err != nil {
		return nil, err
	}
	ep := &endpoint{
		dir:       cfg.DataDir,
		store:     st,
		faults:    faults,
		slots:     semaphore.NewWeighted(int64(cfg.Slots)),
		writeLock: semaphore.NewWeighted(1),
		catalog:   newCatalog(),
		grown:     make(chan struct{}),
	}
	if err := ep.load(cfg.Follow); err != nil {
		return nil, errors.CombineErrors(err, st.close())
	}
	return ep, nil
}

func (ep *endpoint) load(follow string) error {
	var found bool
	var err error
	if ep.state, found, err = loadState(ep.dir); err != nil {
		return err
	}
	if ep.received, err = logEnd(ep.store.writer); err != nil {
		return err
	}
	if ep.applied, err = appliedPosition(ep.store.writer); err != nil {
		return err
	}
	if found {
		return nil
	}
	ep.state = initialState(follow)
	if ep.state.Role == platform.RolePrimary {
		if err := ep.writeMarker(ep.state.Term); err != nil {
			return err
		}
	}
	return ep.state.save(ep.dir)
}

// signal wakes those who wait for a change of the log; mu must be held.
func (ep *endpoint) signal() {
	close(ep.grown)
	ep.grown = make(chan struct{})
}

func (ep *endpoint) status() platform.EndpointStatus {
	ep.mu.RLock()
	defer ep.mu.RUnlock()
	return ep.statusLocked()
}

func (ep *endpoint) statusLocked() platform.EndpointStatus {
	s := platform.EndpointStatus{
		Role:          ep.state.role(),
		Term:          ep.state.Term,
		Holder:        ep.state.Holder,
		AppointedTerm: ep.state.AppointedTerm,
		Received:      ep.received,
		Applied:       ep.applied,
	}
	if s.Role == platform.RoleReplica {
		s.Primary = ep.state.Primary
	}
	return s
}

// position returns what platform.LogPositionQuery answers.
func (ep *endpoint) position() logpos.Position {
	ep.mu.RLock()
	defer ep.mu.RUnlock()
	return ep.applied
}

// serve occupies a slot for the time, in order of arrival.
func (ep *endpoint) serve(ctx context.Context, hold time.Duration, work func() error) error {
	if err := ep.slots.Acquire(ctx, 1); err != nil {
		return err
	}
	defer ep.slots.Release(1)
	ep.statements.Add(1)
	if err := sleep(ctx, hold); err != nil {
		return err
	}
	return work()
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
