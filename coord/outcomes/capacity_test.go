package outcomes_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/outcomes"
)

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Measures the memory of a record with an answer of 200 bytes, and after the answer has
// expired.
func BenchmarkMemoryOfRecord(b *testing.B) {
	for _, n := range []int{20_000, 110_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				t := outcomes.New(32<<10, 10*time.Second)
				now := time.Unix(1_000_000, 0)
				for i := range n {
					var id outcomes.ID
					binary.BigEndian.PutUint64(id[:], uint64(i)*0x9e3779b97f4a7c15)
					t.Begin(id, now)
					t.Finish(id, now, outcomes.Record{Outcome: outcomes.Done, Answer: make([]byte, 200), HasAnswer: true})
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/record-with-answer")
				t.Expire(now.Add(11 * time.Second))
				b.ReportMetric(float64(heap()-before)/float64(n), "B/record")
				runtime.KeepAlive(t)
			}
		})
	}
}
