package daemon

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// Guards against host list polls that exceed a daemon's budget for control
// traffic when there are thousands of hosts, or that are rarer than necessary
// when there are few.
func TestHostPollDelayGrowsWithHostList(t *testing.T) {
	for _, c := range []struct {
		hosts    int
		min, max time.Duration
	}{
		{0, 9 * time.Second, 11 * time.Second},
		{14, 9 * time.Second, 11 * time.Second},
		{5500, 198 * time.Second, 242 * time.Second},
	} {
		for range 100 {
			if d := hostPollDelay(c.hosts); d < c.min || d > c.max {
				t.Fatalf("%d hosts are polled every %v", c.hosts, d)
			}
		}
	}
}

// Measures the size of the host list.
func BenchmarkHostList(b *testing.B) {
	for _, n := range []int{14, 5500} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var body []byte
			for b.Loop() {
				hosts := platform.HostListSnapshot{Version: 900_000}
				for i := range n {
					hosts.Hosts = append(hosts.Hosts, platform.Host{
						Name: fmt.Sprintf("entry-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7430", i/250, i%250+1),
						AvailabilityZone: "zone-a", Capacity: 100, State: platform.HostLive,
					})
				}
				body, _ = json.Marshal(hosts)
			}
			b.ReportMetric(float64(len(body)), "B/list")
		})
	}
}
