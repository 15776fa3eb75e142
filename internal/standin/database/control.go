package database

import (
	"context"
	"strconv"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// applyChunk is the number of log entries applied or sent at once.
const applyChunk = 256

func staleTerm(asked uint64, s controlState) error {
	err := newError(StaleTermState, "term %d is stale: endpoint is at term %d of %q", asked, s.Term, s.Holder)
	err.detail = strconv.FormatUint(s.Term, 10)
	return err
}

// advanceTerm raises the durable term. When it returns, no transaction that was
// open before can commit.
func (ep *endpoint) advanceTerm(term uint64, holder string) (platform.EndpointStatus, error) {
	if err := ep.raiseTerm(term, holder); err != nil {
		return platform.EndpointStatus{}, err
	}
	if ep.status().Role != platform.RolePrimary {
		ep.abortActive()
	}
	return ep.status(), nil
}

func (ep *endpoint) raiseTerm(term uint64, holder string) error {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if term == ep.state.Term && holder == ep.state.Holder {
		return nil
	}
	if term <= ep.state.Term {
		return staleTerm(term, ep.state)
	}
	next := ep.state
	next.Term = term
	next.Holder = holder
	return ep.setState(next)
}

// setState makes the state durable, then valid; mu must be held.
func (ep *endpoint) setState(next controlState) error {
	if err := next.save(ep.dir); err != nil {
		return err
	}
	ep.state = next
	ep.signal()
	return nil
}

// checkHeld reports whether the endpoint is at the term for the holder; mu must
// be held.
func (ep *endpoint) checkHeld(term uint64, holder string) error {
	if ep.state.Term != term || ep.state.Holder != holder {
		return staleTerm(term, ep.state)
	}
	return nil
}

// promote applies the whole received log, writes the marker and becomes primary.
func (ep *endpoint) promote(ctx context.Context, term uint64, holder string) (platform.EndpointStatus, error) {
	if err := ep.preparePromotion(term, holder); err != nil {
		return platform.EndpointStatus{}, err
	}
	if err := ep.writeLock.Acquire(ctx, 1); err != nil {
		return platform.EndpointStatus{}, err
	}
	defer ep.writeLock.Release(1)
	if err := ep.applyAll(ctx); err != nil {
		return platform.EndpointStatus{}, err
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if err := ep.checkHeld(term, holder); err != nil {
		return platform.EndpointStatus{}, err
	}
	if err := ep.appointPrimary(term); err != nil {
		return platform.EndpointStatus{}, err
	}
	return ep.statusLocked(), nil
}

// preparePromotion refuses a stale call before it changes anything, and ends the
// open transaction of an earlier term, which holds the write lock.
func (ep *endpoint) preparePromotion(term uint64, holder string) error {
	ep.mu.RLock()
	err := ep.checkHeld(term, holder)
	appointed := ep.state.AppointedTerm == term
	ep.mu.RUnlock()
	if err == nil && !appointed {
		ep.abortActive()
	}
	return err
}

func (ep *endpoint) appointPrimary(term uint64) error {
	if ep.state.role() == platform.RolePrimary && ep.state.AppointedTerm == term {
		return nil
	}
	// A repeated call after a crash between the two steps finds the marker.
	if ep.received.Term < term {
		if err := ep.writeMarker(term); err != nil {
			return err
		}
	}
	next := ep.state
	next.AppointedTerm = term
	next.Role = platform.RolePrimary
	next.Primary = ""
	return ep.setState(next)
}

// writeMarker appends the first entry of the term; mu must be held, and the
// whole log must be applied.
func (ep *endpoint) writeMarker(term uint64) error {
	tx, err := ep.store.begin()
	if err != nil {
		return err
	}
	marker := ep.nextEntry(term, nil)
	if err := ep.commitEntry(tx, marker); err != nil {
		return err
	}
	ep.logGrew(marker.Position(), marker.Position())
	return nil
}

// applyAll applies the received log without a lag; writeLock must be held.
func (ep *endpoint) applyAll(ctx context.Context) error {
	for {
		entries, err := ep.entriesAfter(ctx, ep.position().Offset)
		if err != nil || len(entries) == 0 {
			return err
		}
		if err := ep.applyEntries(entries); err != nil {
			return err
		}
	}
}

// follow makes the endpoint a replica of the primary.
func (ep *endpoint) follow(term uint64, holder, primary string) (platform.EndpointStatus, error) {
	if err := ep.appointReplica(term, holder, primary); err != nil {
		return platform.EndpointStatus{}, err
	}
	ep.abortActive()
	return ep.status(), nil
}

func (ep *endpoint) appointReplica(term uint64, holder, primary string) error {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if err := ep.checkHeld(term, holder); err != nil {
		return err
	}
	next := ep.state
	next.AppointedTerm = term
	next.Role = platform.RoleReplica
	next.Primary = primary
	return ep.setState(next)
}

// positions returns the ends of the received and the applied log.
func (ep *endpoint) positions() (received, applied logpos.Position) {
	ep.mu.RLock()
	defer ep.mu.RUnlock()
	return ep.received, ep.applied
}
