package concurrency

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an old report that replaces a newer one after a detour, reports that never
// expire, and a view that grows with the number of hosts.
func TestViewKeepsNewestReports(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	var v View
	v.Merge(Report{Rank: 0, Hosts: 3, InFlight: 2, AsOf: now})
	v.Merge(Report{Rank: 0, Hosts: 3, InFlight: 9, AsOf: now.Add(-time.Second)})
	g.Expect(v.Fresh(now)).To(HaveLen(1))
	g.Expect(v.Fresh(now)[0].InFlight).To(Equal(2))
	g.Expect(v.Fresh(now.Add(ReportLifetime + time.Millisecond))).To(BeEmpty())
	for rank := range 100 {
		v.Merge(Report{Rank: rank, Hosts: 100, AsOf: now.Add(time.Duration(rank) * time.Millisecond)})
	}
	g.Expect(v.Fresh(now)).To(HaveLen(maxReports))
	load, ok := v.Load(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(load.Complete).To(BeFalse())
}

// Guards against an expected wait that counts only the statements of some hosts.
func TestLoadOfAllHosts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	var v View
	for rank := range 2 {
		v.Merge(Report{Rank: rank, Hosts: 3, Limit: 6, InFlight: 2, Waiting: 4, LastPriority: 1, ServiceTime: 30 * time.Millisecond, AsOf: now.Add(-20 * time.Millisecond)})
	}
	load, ok := v.Load(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(load).To(Equal(Load{Complete: true, Limit: 6, InFlight: 6, Waiting: 12, LastPriority: 1, ServiceTime: 30 * time.Millisecond, Age: 20 * time.Millisecond}))
	g.Expect(load.ExpectedWait(0)).To(Equal(90 * time.Millisecond))
	g.Expect(load.LeastWait(1)).To(Equal(70 * time.Millisecond))
	g.Expect(load.LeastWait(0)).To(Equal(30*time.Millisecond), "it goes before what waits")
	g.Expect(v.OthersInFlight(now, 0)).To(Equal(2))
}

// Guards against hosts that all refuse by the same reports, so that the endpoint runs out of
// work before the next report: 40 hosts see a queue of 200 ms for half a second.
func TestRefusalsByOldReportsLeaveWork(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_000_000, 0)
	var v View
	v.Merge(Report{Hosts: 1, Limit: 8, Waiting: 80, ServiceTime: 20 * time.Millisecond, AsOf: start})
	const allowed = 100 * time.Millisecond
	for after := time.Duration(0); after <= 500*time.Millisecond; after += 10 * time.Millisecond {
		load, _ := v.Load(start.Add(after))
		left := 200*time.Millisecond - after
		if load.LeastWait(0) > allowed {
			g.Expect(left).To(BeNumerically(">", 0), "refused after %s", after)
		} else {
			g.Expect(left).To(BeNumerically("<=", allowed))
		}
	}
}
