package database

import (
	"context"
	"sync"
	"time"
)

// faultSwitches holds the current faults and notifies goroutines that wait for a change.
type faultSwitches struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{}
}

func newFaultSwitches(f Faults) *faultSwitches {
	return &faultSwitches{current: f, changed: make(chan struct{})}
}

// snapshot returns the current faults and a channel that is closed when they change.
func (s *faultSwitches) snapshot() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}

func (s *faultSwitches) update(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.current)
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitWhile waits until blocked returns false for the current faults, or until ctx ends.
func (s *faultSwitches) waitWhile(ctx context.Context, blocked func(Faults) bool) error {
	for {
		f, changed := s.snapshot()
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

// sleepUntil sleeps until the time that due returns, which is computed again whenever
// the faults change.
func (s *faultSwitches) sleepUntil(ctx context.Context, due func(Faults) time.Time) error {
	for {
		f, changed := s.snapshot()
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
