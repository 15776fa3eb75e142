package floors_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/beryltrestle/beryltrestle/coord/floors"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Measures the memory of one session's floor, including the session's name of 16 bytes.
func BenchmarkMemoryOfFloor(b *testing.B) {
	for _, n := range []int{5_000, 50_000} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				f := floors.New(logpos.Position{})
				for i := range n {
					f.Raise(fmt.Sprintf("session-%08d", i), logpos.Position{Term: 1, Offset: uint64(i) + 1})
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/session")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
