// Package budget bounds what a process keeps for its clients: bytes and descriptors. A client
// reserves bytes before they are read or kept. Once a limit is reached, clients lose their
// connections: first those that make no progress, then those that hold most.
package budget

import (
	"iter"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Reasons for refusing a client.
var (
	// ErrExhausted means that the bytes are not available.
	ErrExhausted = errors.New("the memory for clients is exhausted")
	// ErrDescriptors means that the host has as many callers as its descriptors allow.
	ErrDescriptors = errors.New("too many connections of callers")
)

// releaseTimeout is how long a client waits for the bytes of evicted ones. Their connections
// are closed, so that they end within milliseconds unless the host lacks processor time.
const releaseTimeout = time.Second

// smallShare is the part of the bytes that only the fixed charge of a connection may use, so
// that callers with short statements are served while others exhaust the rest.
const smallShare = 1.0 / 8

// Budget holds the limits of the process. The zero limit of bytes or descriptors is none. A
// nil Budget has no limits.
type Budget struct {
	bytes       int64
	descriptors int
	metrics     *metrics.Registry

	mu   sync.Mutex
	used int64
	// leaving is the part of used that evicted clients hold.
	leaving  int64
	accounts map[*Account]struct{}
	callers  int
	others   int
	// released is closed when bytes are given back while a client waits for them. waiting is
	// the number of such clients.
	released chan struct{}
	waiting  int
}

// New returns a budget.
func New(bytes int64, descriptors int, registry *metrics.Registry) *Budget {
	if bytes <= 0 {
		bytes = math.MaxInt64 / 2
	}
	if descriptors <= 0 {
		descriptors = math.MaxInt32
	}
	return &Budget{
		bytes: bytes, descriptors: descriptors, metrics: registry,
		accounts: make(map[*Account]struct{}), released: make(chan struct{}),
	}
}

// OpenCaller opens the account of a caller's connection. evict must close the connection
// without waiting. It may be called from any goroutine.
func (b *Budget) OpenCaller(evict func()) (*Account, error) {
	if b == nil {
		return nil, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.callers >= maxCallers(b.descriptors, b.others) && !b.evictForDescriptor() {
		b.metrics.Inc(metrics.RefusedTooManyCallers)
		return nil, ErrDescriptors
	}
	b.callers++
	a := &Account{budget: b, evict: evict, caller: true}
	a.Mark(Awaited)
	b.accounts[a] = struct{}{}
	return a, nil
}

// Open opens the account of work for another host. It is not evicted.
func (b *Budget) Open() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b}
}

// AddOther counts a descriptor that does not belong to a caller, or with -1 its end. If it
// leaves too few descriptors, a caller loses its connection.
func (b *Budget) AddOther(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others += n
	if n > 0 && b.callers > maxCallers(b.descriptors, b.others) {
		b.evictForDescriptor()
	}
}

// evictForDescriptor evicts a caller to free its descriptor. b.mu must be held.
func (b *Budget) evictForDescriptor() bool {
	victim, stalled, ok := ChooseForDescriptor(boottime.Now(), b.clients(nil))
	if ok {
		b.evict(victim, stalled, metrics.EvictedIdle)
	}
	return ok
}

// evict closes the connection of the account. reason is counted unless the client is stalled.
// b.mu must be held.
func (b *Budget) evict(a *Account, stalled bool, reason metrics.Name) {
	a.evicted = true
	b.leaving += a.held
	b.callers--
	if stalled {
		reason = metrics.EvictedStalled
	}
	b.metrics.Inc(reason)
	a.evict()
}

// clients returns the accounts that may be evicted, except one. b.mu must be held.
func (b *Budget) clients(except *Account) iter.Seq2[*Account, Client] {
	return func(yield func(*Account, Client) bool) {
		for a := range b.accounts {
			if a == except || a.evicted {
				continue
			}
			if !yield(a, a.client()) {
				return
			}
		}
	}
}

// take charges n bytes to the account, up to the limit. It evicts other clients if necessary,
// and waits for the bytes that they hold.
func (b *Budget) take(a *Account, n, limit int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var timeout <-chan time.Time
	for {
		switch {
		case a.evicted:
			return ErrExhausted
		case b.used+n <= limit:
			b.used += n
			a.held += n
			return nil
		case b.used-b.leaving+n > limit:
			victim, stalled, ok := ChooseForBytes(boottime.Now(), a.held+n, b.clients(a))
			if !ok {
				b.metrics.Inc(metrics.RefusedMemory)
				return ErrExhausted
			}
			b.evict(victim, stalled, metrics.EvictedLargest)
			continue
		}
		if timeout == nil {
			timer := time.NewTimer(releaseTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		released := b.released
		b.waiting++
		b.mu.Unlock()
		expired := false
		select {
		case <-released:
		case <-timeout:
			expired = true
		}
		b.mu.Lock()
		b.waiting--
		if expired && b.used+n > limit {
			b.metrics.Inc(metrics.RefusedMemory)
			return ErrExhausted
		}
	}
}

// give gives back n bytes of the account.
func (b *Budget) give(a *Account, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.giveLocked(a, n)
}

// giveLocked is give for calling functions that hold b.mu.
func (b *Budget) giveLocked(a *Account, n int64) {
	a.held -= n
	b.used -= n
	if a.evicted {
		b.leaving -= n
	}
	if b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}
