package outcomes_test

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/outcomes"
)

func idOf(n uint64) (id outcomes.ID) {
	binary.LittleEndian.PutUint64(id[:], n)
	return id
}

// Guards against a request that ran and is reported as not run, a request that runs after
// it was reported as not run, and unbounded memory.
func TestNotRunIsNeverWrong(t *testing.T) {
	const maxRecords, ids = 8, 14
	rapid.Check(t, func(t *rapid.T) {
		table := outcomes.New(4, 10*time.Second,
			outcomes.WithMaxRecords(maxRecords), outcomes.WithMaxAnswerBytes(10))
		now := at(0)
		began := map[uint64]bool{}
		result := map[uint64]outcomes.Outcome{}
		ended := map[uint64]time.Time{}
		reported := map[uint64]time.Time{}
		id := func() uint64 { return rapid.Uint64Range(0, ids).Draw(t, "id") }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "seconds")) * time.Second)
			},
			"begin": func(t *rapid.T) {
				n := id()
				ok := table.Begin(idOf(n), now)
				since, wasReported := reported[n]
				if ok && wasReported && now.Sub(since) < outcomes.MaxLifetime {
					t.Fatalf("request %d runs %v after it was reported as not run", n, now.Sub(since))
				}
				if ok && began[n] && (ended[n].IsZero() || now.Sub(ended[n]) < outcomes.MaxLifetime) {
					t.Fatalf("request %d runs twice", n)
				}
				if ok {
					began[n], result[n], ended[n] = true, outcomes.Running, time.Time{}
				}
			},
			"finish": func(t *rapid.T) {
				n := id()
				o := rapid.SampledFrom([]outcomes.Outcome{outcomes.Done, outcomes.NotRun, outcomes.Unknown}).Draw(t, "outcome")
				table.Finish(idOf(n), now, outcomes.Record{Outcome: o, Answer: []byte("1234"), HasAnswer: true})
				if r := result[n]; began[n] && (r == outcomes.Running || r == outcomes.Unknown) {
					result[n] = o
					if ended[n].IsZero() {
						ended[n] = now
					}
				}
			},
			"query": func(t *rapid.T) {
				n := id()
				r := table.Query(idOf(n), now)
				remembered := began[n] && (ended[n].IsZero() || now.Sub(ended[n]) < outcomes.MaxLifetime)
				if remembered && r.Outcome != result[n] {
					t.Fatalf("outcome of request %d is %v, want %v", n, r.Outcome, result[n])
				}
				// The record is kept for MaxLifetime from the first report. The request was
				// sent before that report and cannot arrive more than MaxLifetime later.
				since, wasReported := reported[n]
				if !remembered && r.Outcome == outcomes.NotRun && (!wasReported || now.Sub(since) >= outcomes.MaxLifetime) {
					reported[n] = now
					delete(began, n)
				}
			},
			"": func(t *rapid.T) {
				if table.Len() > maxRecords+maxRecords/8 || table.AnswerBytes() > 10 {
					t.Fatalf("%d records, %d bytes of answers", table.Len(), table.AnswerBytes())
				}
			},
		})
	})
}

// Guards against a write that is reported as not run after a failover although it was
// kept, and against one that is reported as done although it was lost, also if there was
// another promotion in between.
func TestResolveIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lower := rapid.Uint64Range(1, 10).Draw(t, "lower")
		commit := lower + rapid.Uint64Range(1, 5).Draw(t, "commit")
		w := outcomes.WriteBounds{
			Lower: pos(4, lower), Upper: pos(4, commit+rapid.Uint64Range(0, 3).Draw(t, "slack")),
			UpperKnown: rapid.Bool().Draw(t, "upper known"),
		}
		kept := rapid.Uint64Range(0, 20).Draw(t, "kept")
		promotion := pos(4, kept)
		switch rapid.IntRange(0, 2).Draw(t, "promotion") {
		case 1: // The promoted endpoint had received no entry of the term.
			kept, promotion = 0, pos(3, 40)
		case 2: // The promotion point is that of a later failover.
			promotion = pos(5, kept+rapid.Uint64Range(1, 9).Draw(t, "later"))
		}
		ran := commit <= kept
		switch got := outcomes.Resolve(w, promotion); {
		case got == outcomes.Done && !ran, got == outcomes.NotRun && ran, got == outcomes.Running:
			t.Fatalf("outcome %v for %+v at promotion point %v; the new primary has the write: %v", got, w, promotion, ran)
		}
	})
}

// Guards against an answer that is kept longer than its retention or although it is too
// large.
func TestAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	table := outcomes.New(4, 10*time.Second)
	for n, answer := range []string{"1234", "12345"} {
		g.Expect(table.Begin(idOf(uint64(n)), at(0))).To(BeTrue())
		table.Finish(idOf(uint64(n)), at(0), outcomes.Record{Outcome: outcomes.Done, Answer: []byte(answer), HasAnswer: true})
	}
	g.Expect(table.Query(idOf(0), at(9)).HasAnswer).To(BeTrue())
	g.Expect(table.Query(idOf(1), at(9))).To(Equal(outcomes.Record{Outcome: outcomes.Done}))
	g.Expect(table.Query(idOf(0), at(10))).To(Equal(outcomes.Record{Outcome: outcomes.Done}))
	g.Expect(table.Expire(at(60))).To(Equal(2))
}

// Measures the time to record a request, and the memory of a record at a steady rate with
// the outcomes of 60 s and the details of 10 s; see docs/design/outcomes.md.
func BenchmarkRecord(b *testing.B) {
	const rate = 1800
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := outcomes.New(32<<10, 10*time.Second)
	var n uint64
	record := func() {
		now := at(0).Add(time.Duration(n) * time.Second / rate)
		table.Begin(idOf(n), now)
		table.Finish(idOf(n), now, outcomes.Record{Outcome: outcomes.Done, Status: 'I'})
		n++
	}
	for n < 120*rate {
		record()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perRecord := float64(after.HeapAlloc-before.HeapAlloc) / float64(table.Len())
	b.ReportAllocs()
	for b.Loop() {
		record()
	}
	b.ReportMetric(perRecord, "bytes/record")
	b.ReportMetric(float64(table.Len()), "records")
}

// Guards against the answer of a request that is removed early, because its outcome was
// unknown before and the earlier record expires: the caller then got no answer for a write
// that was done.
func TestReplacedUnknownOutcomeDoesNotShortenTheAnswer(t *testing.T) {
	g := NewWithT(t)
	const retention = 10 * time.Second
	table := outcomes.New(100, retention)
	id := idOf(1)
	g.Expect(table.Begin(id, at(0))).To(BeTrue())
	table.Finish(id, at(0), outcomes.Record{Outcome: outcomes.Unknown})
	table.Finish(id, at(8), outcomes.Record{Outcome: outcomes.Done, Answer: []byte("1234"), HasAnswer: true})
	g.Expect(string(table.Query(id, at(17)).Answer)).To(Equal("1234"))
	g.Expect(table.Query(id, at(19)).HasAnswer).To(BeFalse())
	g.Expect(table.AnswerBytes()).To(BeZero())
}
