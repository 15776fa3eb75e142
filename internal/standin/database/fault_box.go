package database

import (
	"context"
	"sync"
	"time"
)

// faultBox holds the current faults and wakes those who wait for a change.
type faultBox struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{}
}

func newFaultBox(f Faults) *faultBox {
	return &faultBox{current: f, changed: make(chan struct{})}
}

func (b *faultBox) get() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.changed
}

func (b *faultBox) update(change func(*Faults)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.current)
	close(b.changed)
	b.changed = make(chan struct{})
}

// waitWhile returns when blocked is false, or with the context's error.
func (b *faultBox) waitWhile(ctx context.Context, blocked func(Faults) bool) error {
	for {
		f, changed := b.get()
		if !blocked(f) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleepUntil waits until due, which is computed again after each change.
func (b *faultBox) sleepUntil(ctx context.Context, due func(Faults) time.Time) error {
	for {
		f, changed := b.get()
		wait := time.Until(due(f))
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}
