// Package outcomes remembers what became of each request that one owner was
// sent. It answers "not run" only for a request that did not run and that it
// will never run.
package outcomes

import "time"

const (
	// MaxLifetime is the largest time between a caller's request and the last
	// query for its outcome.
	MaxLifetime = 60 * time.Second
	// DefaultMaxRecords bounds the remembered requests. At two years' size a
	// daemon serves about 1,800 requests/s, hence 109,000 in MaxLifetime; the
	// bound leaves room for a fivefold peak.
	DefaultMaxRecords = 600_000
	// DefaultMaxAnswerBytes bounds the kept answers of all requests together.
	DefaultMaxAnswerBytes = 32 << 20
	// neverRunShare is the part of the record bound, as a divisor, that is
	// reserved for records of IDs that will never run.
	neverRunShare = 8
)

// Table holds the outcomes of one owner. It is not safe for concurrent use.
//
// The outcome of a request is kept for MaxLifetime (or the retention if that is
// longer) after the request finished, so that a forgotten request is never
// mistaken for one that was never seen; its answer is kept for the retention.
// When the table is full it refuses new requests instead of forgetting old
// ones.
type Table struct {
	maxAnswer  int
	maxRecords int
	maxBytes   int
	retention  time.Duration
	lifetime   time.Duration

	states  map[ID]state
	expiry  fifo
	details map[ID]Record
	aging   fifo
	bytes   int
}

// state is an outcome, with a mark for IDs that never began.
type state uint8

const neverRun state = 255

// New returns an empty table. Answers above maxAnswer bytes are not kept; the
// others are kept for the retention after the request finished.
func New(maxAnswer int, retention time.Duration, options ...Option) *Table {
	t := &Table{
		maxAnswer:  maxAnswer,
		maxRecords: DefaultMaxRecords,
		maxBytes:   DefaultMaxAnswerBytes,
		retention:  retention,
		lifetime:   max(retention, MaxLifetime),
		states:     make(map[ID]state),
		details:    make(map[ID]Record),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Begin records that the request is about to run. It returns false if the ID
// was seen before, was recorded as never to run, or if the table is full; the
// caller must then not run the request, and Query tells which it was.
func (t *Table) Begin(id ID, now time.Time) bool {
	t.Expire(now)
	if _, seen := t.states[id]; seen || len(t.states) >= t.maxRecords {
		return false
	}
	t.states[id] = state(Running)
	return true
}

// Finish records the result of a request that began. A result that is Done or
// NotRun is final; Unknown may later be replaced. A result for an ID that did
// not begin is ignored.
func (t *Table) Finish(id ID, now time.Time, r Record) {
	s, seen := t.states[id]
	if !seen || !s.open() {
		return
	}
	if s == state(Running) && r.Outcome != Running {
		t.expiry.push(due{id: id, at: now.Add(t.lifetime)})
	}
	t.states[id] = state(r.Outcome)
	t.keep(id, now, r)
	t.Expire(now)
}

// Query returns what is known of the request. An ID that was never seen is
// recorded as never to run for MaxLifetime, and NotRun is returned. If the table has no room for
// that record, the answer is Unknown, because the request could still arrive.
func (t *Table) Query(id ID, now time.Time) Record {
	t.Expire(now)
	s, seen := t.states[id]
	switch {
	case !seen:
		return t.refuse(id, now)
	case s == neverRun:
		return Record{Outcome: NotRun}
	}
	if r, kept := t.details[id]; kept {
		return r
	}
	return Record{Outcome: Outcome(s)}
}

// Expire drops answers and records whose time has passed, and returns how many
// records it dropped.
func (t *Table) Expire(now time.Time) int {
	for !t.aging.empty() && (t.bytes > t.maxBytes || !t.aging.first().at.After(now)) {
		t.forgetDetails(t.aging.first().id)
		t.aging.pop()
	}
	n := 0
	for !t.expiry.empty() && !t.expiry.first().at.After(now) {
		delete(t.states, t.expiry.first().id)
		t.expiry.pop()
		n++
	}
	return n
}

// Len returns the number of requests that the table remembers.
func (t *Table) Len() int { return len(t.states) }

// AnswerBytes returns the size of the kept answers together.
func (t *Table) AnswerBytes() int { return t.bytes }

// refuse records an ID that was never seen as never to run.
func (t *Table) refuse(id ID, now time.Time) Record {
	if len(t.states) >= t.maxRecords+t.maxRecords/neverRunShare {
		return Record{Outcome: Unknown}
	}
	t.states[id] = neverRun
	t.expiry.push(due{id: id, at: now.Add(t.lifetime)})
	return Record{Outcome: NotRun}
}

// keep stores the answer and the reason of a finished request.
func (t *Table) keep(id ID, now time.Time, r Record) {
	if len(r.Answer) > t.maxAnswer {
		r.Answer, r.HasAnswer = nil, false
	}
	t.forgetDetails(id)
	t.details[id] = r
	t.bytes += len(r.Answer)
	t.aging.push(due{id: id, at: now.Add(t.retention)})
}

func (t *Table) forgetDetails(id ID) {
	t.bytes -= len(t.details[id].Answer)
	delete(t.details, id)
}

// open reports whether a request in this state may still get a result.
func (s state) open() bool { return s == state(Running) || s == state(Unknown) }
