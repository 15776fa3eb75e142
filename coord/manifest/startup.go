package manifest

import "time"

// startup is the state before the first manifest is published.
type startup struct {
	// heldSince is when the first manifest was accepted; zero before.
	heldSince time.Time
	// done is true once the first manifest may be published.
	done bool
	// waiting holds the sources whose answers are awaited.
	waiting map[Source]bool
	// nextStoreFetch is the earliest time of the next fetch from the store by a host that
	// is no poller. storeDelay is the delay that led to it.
	nextStoreFetch time.Time
	storeDelay     time.Duration
}

// fetchesStarted records the sources that a tick fetches from.
func (s *startup) fetchesStarted(fetches []Fetch) {
	if s.done {
		return
	}
	if s.waiting == nil {
		s.waiting = make(map[Source]bool)
	}
	for _, f := range fetches {
		s.waiting[f.From] = true
	}
}

// answered records an answer. After a manifest from the store, no other answer is awaited,
// because reads from the store are consistent. If the store has no manifest, peers may
// still have one.
func (s *startup) answered(from Source, generation uint64) {
	delete(s.waiting, from)
	if from == Store && generation > 0 {
		s.done = true
	}
}

// failed records that a fetch from a source failed.
func (s *startup) failed(from Source) { delete(s.waiting, from) }

// manifestHeld records that a manifest was accepted.
func (s *startup) manifestHeld(now time.Time) {
	if s.heldSince.IsZero() {
		s.heldSince = now
	}
}

// waitOver reports whether the first manifest may be published. It must be called only
// after a manifest was accepted.
func (s *startup) waitOver(now time.Time) bool {
	s.done = s.done || len(s.waiting) == 0 || now.Sub(s.heldSince) >= StartupTimeout
	return s.done
}

// storeDue reports whether a fetch from the store is due. If it is, the delay until the
// next one doubles.
func (s *startup) storeDue(now time.Time) bool {
	if now.Before(s.nextStoreFetch) {
		return false
	}
	s.storeDelay = min(max(2*s.storeDelay, time.Second), maxStartupStoreDelay)
	s.nextStoreFetch = now.Add(s.storeDelay)
	return true
}
