// Package outcomes remembers the outcome of each request that one owner received. It
// reports "not run" only for a request that has not run and never will.
package outcomes

import "time"

const (
	// MaxLifetime is the longest time between a request and the last query for its
	// outcome.
	MaxLifetime = 60 * time.Second
	// DefaultMaxRecords limits the number of remembered requests. At the size that is
	// expected in two years, a daemon serves about 1,800 requests/s, hence 109,000 in
	// MaxLifetime; the limit allows for a peak of five times as many.
	DefaultMaxRecords = 600_000
	// DefaultMaxAnswerBytes limits the total size of the kept answers.
	DefaultMaxAnswerBytes = 32 << 20
	// neverRunDivisor determines how many records the table reserves, beyond the limit,
	// for IDs that must never run: the limit divided by neverRunDivisor.
	neverRunDivisor = 8
)

// Table holds the outcomes of the requests of one owner. It is not safe for concurrent
// use.
//
// The outcome of a request is kept for MaxLifetime, or for the retention if that is
// longer, after the request finished, so that a request that is no longer remembered
// cannot be mistaken for one that never arrived. Its answer is kept for the retention. A
// full table refuses new requests instead of forgetting old ones.
type Table struct {
	maxAnswerSize  int
	maxRecords     int
	maxAnswerBytes int
	retention      time.Duration
	lifetime       time.Duration

	states       map[ID]state
	recordExpiry expiryQueue
	// details holds the records with the answers that are still kept.
	details      map[ID]details
	detailExpiry expiryQueue
	// answerBytes is the total size of the kept answers.
	answerBytes int
}

// details is a record that is kept until expiresAt.
type details struct {
	Record
	expiresAt time.Time
}

// state is an Outcome, or neverRun for an ID that has not begun and must never run.
type state uint8

const neverRun state = 255

// New returns an empty table. Answers of more than maxAnswer bytes are not kept. Other
// answers are kept for the retention after the request finished.
func New(maxAnswer int, retention time.Duration, options ...Option) *Table {
	t := &Table{
		maxAnswerSize:  maxAnswer,
		maxRecords:     DefaultMaxRecords,
		maxAnswerBytes: DefaultMaxAnswerBytes,
		retention:      retention,
		lifetime:       max(retention, MaxLifetime),
		states:         make(map[ID]state),
		details:        make(map[ID]details),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Begin records that the request is about to run. It returns false if the ID has begun
// before, must never run, or if the table is full. The request must not run then, and
// Query returns its outcome.
func (t *Table) Begin(id ID, now time.Time) bool {
	t.Expire(now)
	if _, seen := t.states[id]; seen || len(t.states) >= t.maxRecords {
		return false
	}
	t.states[id] = state(Running)
	return true
}

// Finish records the result of a request that has begun. Done and NotRun are final,
// whereas Unknown may be replaced later. A result for an ID that has not begun is
// ignored.
func (t *Table) Finish(id ID, now time.Time, r Record) {
	s, seen := t.states[id]
	if !seen || !s.acceptsResult() {
		return
	}
	if s == state(Running) && r.Outcome != Running {
		t.recordExpiry.push(expiryEntry{id: id, expiresAt: now.Add(t.lifetime)})
	}
	t.states[id] = state(r.Outcome)
	t.storeDetails(id, now, r)
	t.Expire(now)
}

// Query returns what is known about the request. For an ID that the table does not know,
// it records that the request must not run within MaxLifetime, and returns NotRun. If the
// table has no room for that record, it returns Unknown, because the request could still
// arrive.
func (t *Table) Query(id ID, now time.Time) Record {
	t.Expire(now)
	s, seen := t.states[id]
	switch {
	case !seen:
		return t.recordNeverRun(id, now)
	case s == neverRun:
		return Record{Outcome: NotRun}
	}
	if d, kept := t.details[id]; kept {
		return d.Record
	}
	return Record{Outcome: Outcome(s)}
}

// Expire removes answers and records whose time has passed, and the oldest answers while
// their total size is above the limit. It returns how many records it removed.
func (t *Table) Expire(now time.Time) int {
	for !t.detailExpiry.empty() && (t.answerBytes > t.maxAnswerBytes || !t.detailExpiry.first().expiresAt.After(now)) {
		// An entry of details that were replaced since then says nothing about the newer ones.
		if e := t.detailExpiry.first(); t.details[e.id].expiresAt.Equal(e.expiresAt) {
			t.forgetDetails(e.id)
		}
		t.detailExpiry.pop()
	}
	n := 0
	for !t.recordExpiry.empty() && !t.recordExpiry.first().expiresAt.After(now) {
		delete(t.states, t.recordExpiry.first().id)
		t.recordExpiry.pop()
		n++
	}
	return n
}

// Len returns the number of requests that the table remembers.
func (t *Table) Len() int { return len(t.states) }

// AnswerBytes returns the total size of the kept answers.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// recordNeverRun records that the request with an unknown ID must not run.
func (t *Table) recordNeverRun(id ID, now time.Time) Record {
	if len(t.states) >= t.maxRecords+t.maxRecords/neverRunDivisor {
		return Record{Outcome: Unknown}
	}
	t.states[id] = neverRun
	t.recordExpiry.push(expiryEntry{id: id, expiresAt: now.Add(t.lifetime)})
	return Record{Outcome: NotRun}
}

// storeDetails stores the record of a finished request, without an answer that is too
// large.
func (t *Table) storeDetails(id ID, now time.Time, r Record) {
	if len(r.Answer) > t.maxAnswerSize {
		r.Answer, r.HasAnswer = nil, false
	}
	t.forgetDetails(id)
	expiresAt := now.Add(t.retention)
	t.details[id] = details{r, expiresAt}
	t.answerBytes += len(r.Answer)
	t.detailExpiry.push(expiryEntry{id: id, expiresAt: expiresAt})
}

func (t *Table) forgetDetails(id ID) {
	t.answerBytes -= len(t.details[id].Answer)
	delete(t.details, id)
}

// acceptsResult reports whether a result may still be recorded for a request in this state.
func (s state) acceptsResult() bool { return s == state(Running) || s == state(Unknown) }
