package database

import (
	"context"
	"strconv"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// logBatchSize is the largest number of log entries that are applied or sent at once.
const logBatchSize = 256

// staleTermError returns the error of a control call that does not fit the endpoint's
// current term and holder.
func staleTermError(callTerm uint64, s controlState) error {
	err := newError(StaleTermSQLState, "term %d is stale: endpoint is at term %d of %q", callTerm, s.Term, s.Holder)
	err.detail = strconv.FormatUint(s.Term, 10)
	return err
}

// advanceTerm raises the endpoint's term and makes it durable. After it returns, no
// transaction that was open before can commit.
func (ep *endpoint) advanceTerm(term uint64, holder string) (platform.EndpointStatus, error) {
	if err := ep.raiseTerm(term, holder); err != nil {
		return platform.EndpointStatus{}, err
	}
	if ep.status().Role != platform.RolePrimary {
		ep.abortActiveWrite()
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
		return staleTermError(term, ep.state)
	}
	next := ep.state
	next.Term = term
	next.Holder = holder
	return ep.setState(next)
}

// setState makes the state durable and then current; mu must be held.
func (ep *endpoint) setState(next controlState) error {
	if err := next.save(ep.dir); err != nil {
		return err
	}
	ep.state = next
	ep.notifyChange()
	return nil
}

// checkTermAndHolder returns an error unless the endpoint is at the term and the term
// belongs to the holder; mu must be held.
func (ep *endpoint) checkTermAndHolder(term uint64, holder string) error {
	if ep.state.Term != term || ep.state.Holder != holder {
		return staleTermError(term, ep.state)
	}
	return nil
}

// promote makes the endpoint the primary: it applies the whole received log, writes the
// marker of the term and changes the role.
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
	if err := ep.checkTermAndHolder(term, holder); err != nil {
		return platform.EndpointStatus{}, err
	}
	if err := ep.appointPrimary(term); err != nil {
		return platform.EndpointStatus{}, err
	}
	return ep.statusLocked(), nil
}

// preparePromotion refuses a stale call before anything changes. It also aborts an open
// transaction of an earlier term, which may hold the write lock.
func (ep *endpoint) preparePromotion(term uint64, holder string) error {
	ep.mu.RLock()
	err := ep.checkTermAndHolder(term, holder)
	appointed := ep.state.AppointedTerm == term
	ep.mu.RUnlock()
	if err == nil && !appointed {
		ep.abortActiveWrite()
	}
	return err
}

func (ep *endpoint) appointPrimary(term uint64) error {
	if ep.state.role() == platform.RolePrimary && ep.state.AppointedTerm == term {
		return nil
	}
	// The marker already exists if the call is repeated after a crash between writing the
	// marker and saving the state.
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

// writeMarker appends the marker, the first entry of a term. mu must be held, and the
// whole log must have been applied.
func (ep *endpoint) writeMarker(term uint64) error {
	tx, err := ep.store.begin()
	if err != nil {
		return err
	}
	marker := ep.nextEntry(term, nil)
	if err := ep.commitEntry(tx, marker); err != nil {
		return err
	}
	ep.setPositions(marker.Position(), marker.Position())
	return nil
}

// applyAll applies the whole received log regardless of the apply lag; writeLock must be
// held.
func (ep *endpoint) applyAll(ctx context.Context) error {
	for {
		entries, err := ep.entriesAfter(ctx, ep.appliedPosition().Offset)
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
	ep.abortActiveWrite()
	return ep.status(), nil
}

func (ep *endpoint) appointReplica(term uint64, holder, primary string) error {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if err := ep.checkTermAndHolder(term, holder); err != nil {
		return err
	}
	next := ep.state
	next.AppointedTerm = term
	next.Role = platform.RoleReplica
	next.Primary = primary
	return ep.setState(next)
}

// positions returns the positions of the last received and the last applied entry.
func (ep *endpoint) positions() (received, applied logpos.Position) {
	ep.mu.RLock()
	defer ep.mu.RUnlock()
	return ep.received, ep.applied
}
