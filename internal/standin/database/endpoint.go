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

// endpoint is the state of one endpoint, which its connections share.
//
// Lock order: writeLock, writeTx.mu, mu.
type endpoint struct {
	dir    string
	store  *store
	faults *faultSwitches
	slots  *semaphore.Weighted
	// statements counts the statements that took a slot.
	statements atomic.Int64
	// writeLock is held by the only open write transaction of the engine. It is that of
	// a client, or it stores received log entries, applies them or promotes the
	// endpoint.
	writeLock    *semaphore.Weighted
	descriptions *describeCache

	// mu guards the fields below. It is held during the check of the term and the
	// commit that follows, so that nothing is committed after the term has advanced.
	// Positions change under the same lock, so that no reported position is lower than
	// what a read has already seen.
	mu    sync.RWMutex
	state controlState
	// received and applied are the positions of the last received and the last applied
	// entry.
	received logpos.Position
	applied  logpos.Position
	tail     logTail
	// activeWrite is the client transaction that last took writeLock.
	activeWrite *writeTx
	// changed is closed and replaced when received, applied or state changes.
	changed chan struct{}
}

func openEndpoint(cfg Config, faults *faultSwitches) (*endpoint, error) {
	st, err := openStore(cfg.DataDir)
	if err != nil {
		return nil, err
	}
	ep := &endpoint{
		dir:          cfg.DataDir,
		store:        st,
		faults:       faults,
		slots:        semaphore.NewWeighted(int64(cfg.Slots)),
		writeLock:    semaphore.NewWeighted(1),
		descriptions: newDescribeCache(),
		changed:      make(chan struct{}),
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

// notifyChange wakes the goroutines in waitUntil; mu must be held.
func (ep *endpoint) notifyChange() {
	close(ep.changed)
	ep.changed = make(chan struct{})
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

// appliedPosition returns the position of the last applied entry, which is the answer to
// platform.LogPositionQuery.
func (ep *endpoint) appliedPosition() logpos.Position {
	ep.mu.RLock()
	defer ep.mu.RUnlock()
	return ep.applied
}

// runInSlot waits for a slot in order of arrival, holds it for the service time, and then
// runs work in it.
func (ep *endpoint) runInSlot(ctx context.Context, serviceTime time.Duration, work func() error) error {
	if err := ep.slots.Acquire(ctx, 1); err != nil {
		return err
	}
	defer ep.slots.Release(1)
	ep.statements.Add(1)
	if err := sleep(ctx, serviceTime); err != nil {
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
