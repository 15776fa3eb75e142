package peer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// inFlightTracker counts the running requests and open transactions of a
// service, so that a drain can wait for them.
type inFlightTracker struct {
	mu               sync.Mutex
	running          int
	openTransactions map[string]struct{}
	draining         bool
	// drained is closed when the service is draining and nothing is in flight.
	drained     chan struct{}
	drainedOnce sync.Once
}

// newInFlightTracker returns a tracker with nothing in flight.
func newInFlightTracker() *inFlightTracker {
	return &inFlightTracker{openTransactions: make(map[string]struct{}), drained: make(chan struct{})}
}

// begin counts a request. It returns false if the service is draining and the
// request does not belong to an open transaction.
func (t *inFlightTracker) begin(req *peerv1.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining && len(req.GetTransactionId()) == 0 {
		return false
	}
	t.running++
	return true
}

// end removes a request from the count and records whether its transaction is
// open.
func (t *inFlightTracker) end(transactionID []byte, status string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if status == "" || status == idleStatus {
		delete(t.openTransactions, string(transactionID))
	} else {
		t.openTransactions[string(transactionID)] = struct{}{}
	}
	t.closeIfDrained()
}

// removeTransaction removes a transaction that was rolled back.
func (t *inFlightTracker) removeTransaction(transactionID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openTransactions, transactionID)
	t.closeIfDrained()
}

// closeIfDrained closes drained if nothing is in flight. The caller holds the
// lock.
func (t *inFlightTracker) closeIfDrained() {
	if t.draining && t.running == 0 && len(t.openTransactions) == 0 {
		t.drainedOnce.Do(func() { close(t.drained) })
	}
}

// drain refuses new requests and waits until nothing is in flight.
func (t *inFlightTracker) drain(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	t.closeIfDrained()
	t.mu.Unlock()
	select {
	case <-t.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests or transactions of other daemons did not end in time")
	}
}
