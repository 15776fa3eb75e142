package peer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// load counts the running requests and open transactions of a service, so that
// a graceful stop can wait for them.
type load struct {
	mu       sync.Mutex
	running  int
	open     map[string]struct{}
	draining bool
	// empty is closed once draining and nothing is left.
	empty     chan struct{}
	emptyOnce sync.Once
}

// newLoad returns a load of nothing.
func newLoad() *load {
	return &load{open: make(map[string]struct{}), empty: make(chan struct{})}
}

// begin counts a request. It returns false if the service is draining and the
// request belongs to no open transaction.
func (l *load) begin(req *peerv1.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining && len(req.GetTransactionId()) == 0 {
		return false
	}
	l.running++
	return true
}

// end uncounts a request and records the transaction that it leaves open.
func (l *load) end(transactionID []byte, status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if status == "" || status == idleStatus {
		delete(l.open, string(transactionID))
	} else {
		l.open[string(transactionID)] = struct{}{}
	}
	l.checkEmpty()
}

// closed records that a transaction is gone.
func (l *load) closed(transactionID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, transactionID)
	l.checkEmpty()
}

// checkEmpty is called with the lock held.
func (l *load) checkEmpty() {
	if l.draining && l.running == 0 && len(l.open) == 0 {
		l.emptyOnce.Do(func() { close(l.empty) })
	}
}

// drain refuses new work and waits until nothing is left.
func (l *load) drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	l.checkEmpty()
	l.mu.Unlock()
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests or transactions of other daemons were cut off")
	}
}
