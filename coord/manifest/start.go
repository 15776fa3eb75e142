package manifest

import "time"

// start is the state before the first manifest is published.
type start struct {
	// since is when the first manifest was held; zero before.
	since time.Time
	done  bool
	// waiting holds the sources that were asked and have not answered.
	waiting map[Source]bool
	// nextStore is when the store is asked again, after delay.
	nextStore time.Time
	delay     time.Duration
}

// record notes whom a tick asked.
func (s *start) record(fetches []Fetch) {
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

// answered notes an answer. The store's is consistent, so that no other need be
// waited for; that it has no manifest says nothing about peers.
func (s *start) answered(from Source, generation uint64) {
	delete(s.waiting, from)
	if from == Store && generation > 0 {
		s.done = true
	}
}

// failed notes that a source gave no answer.
func (s *start) failed(from Source) { delete(s.waiting, from) }

// held notes that a manifest is held.
func (s *start) held(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
}

// over reports whether the wait is over, once a manifest is held.
func (s *start) over(now time.Time) bool {
	s.done = s.done || len(s.waiting) == 0 || now.Sub(s.since) >= StartTimeout
	return s.done
}

// storeDue reports whether the store is to be asked now, and doubles the delay.
func (s *start) storeDue(now time.Time) bool {
	if now.Before(s.nextStore) {
		return false
	}
	s.delay = min(max(2*s.delay, time.Second), maxStartDelay)
	s.nextStore = now.Add(s.delay)
	return true
}
