package localdeploy_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/capacitytest"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Measures the CPU usage of a deployment without callers, per daemon. The databases run
// in the same process, so their usage is also measured alone.
func BenchmarkIdleDaemon(b *testing.B) {
	const interval = 10 * time.Second
	for _, pools := range []int{3, 18} {
		b.Run(fmt.Sprintf("hosts=14/pools=%d", pools), func(b *testing.B) {
			for b.Loop() {
				cfg := localdeploy.Config{Hosts: 14, Log: zerolog.Nop()}
				for i := range pools {
					cfg.Pools = append(cfg.Pools, fmt.Sprintf("members-%04d", i))
				}
				d, err := localdeploy.Start(context.Background(), cfg)
				if err != nil {
					b.Fatal(err)
				}
				time.Sleep(5 * time.Second)
				all := coreUsage(interval)
				_ = d.Close()
				b.ReportMetric(all/14, "%core/daemon-with-databases")
				b.ReportMetric(databaseCoreUsage(b, pools, interval)/14, "%core/databases")
			}
		})
	}
}

// databaseCoreUsage returns the percentage of a core that idle database groups use.
func databaseCoreUsage(b *testing.B, groups int, interval time.Duration) float64 {
	b.Helper()
	for range groups {
		g, err := database.StartGroup(3, database.Config{})
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = g.Close() }()
	}
	time.Sleep(time.Second)
	return coreUsage(interval)
}

// coreUsage returns the percentage of a core that the process uses during the
// interval.
func coreUsage(interval time.Duration) float64 {
	start := capacitytest.CPUTime()
	time.Sleep(interval)
	return 100 * float64(capacitytest.CPUTime()-start) / float64(interval)
}
