package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// withMembers returns the control state of a host that knows some others.
func withMembers(known time.Time, names ...string) *control {
	c := newControl(New(Config{Host: "h0"}))
	for _, name := range names {
		c.members[name] = &member{hostRecord: hostRecord{Name: name}, known: known}
	}
	return c
}

// Guards against a host of a large fleet whose loss stays unknown to the first host,
// because only a few hosts have called it and the hosts between do not pass that on
// (CI of 6dd4755: the row of a lost host was still there after 15 s).
func TestUnansweredCallIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := withMembers(now.Add(-time.Minute), "h1", "h2", "h3", "h4")
	c.heard(News{Host: "h1", Unanswered: map[string]time.Duration{"h2": 500 * time.Millisecond}}, time.Time{})
	// One host's failed calls do not change the ranks of all.
	g.Expect(c.members["h2"].live(boottime.Now())).To(BeTrue())
	g.Expect(c.failedCalls(boottime.Now())).To(HaveKeyWithValue("h2", BeNumerically(">=", 500*time.Millisecond)))
	// The report ends, however often it is passed around.
	g.Expect(c.failedCalls(boottime.Now().Add(reportHolds))).To(BeEmpty())
}

// Guards against a row that is removed after its host was heard of, or has started again,
// because of an older failed call that is still passed around.
func TestOlderUnansweredCallDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := withMembers(now.Add(-time.Minute), "h1", "h2", "h3", "h4")
	c.members["h2"].heard = now.Add(-100 * time.Millisecond)
	c.members["h3"].known = now.Add(-100 * time.Millisecond)
	c.heard(News{Host: "h1", Unanswered: map[string]time.Duration{"h2": time.Second, "h3": time.Second}}, time.Time{})
	g.Expect(c.failedCalls(boottime.Now())).To(BeEmpty())
}

// Guards against a host that takes the shares of hosts which do not answer it, so that the
// endpoints' limits are exceeded (svfb-trestle-grown trouble-1: 17,009 connections reset).
func TestSilentHostsKeepTheirShares(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	var names []string
	for n := range 132 {
		names = append(names, fmt.Sprintf("h%d", n+1))
	}
	c := withMembers(now.Add(-time.Minute), names...)
	for _, name := range names[:110] {
		c.members[name].failures = suspectFailures
	}
	holds := 0
	for n := range 100 {
		h := c.holding(c.liveHosts(now), Group{MaxConnections: 83}, Endpoint{ID: fmt.Sprintf("e%d", n), Slots: 5})
		if !h.relayed {
			holds++
		}
	}
	// Three of the 23 live hosts hold connections to each endpoint.
	g.Expect(holds).To(BeNumerically("<", 40))
}

// Guards against news that name half of a large fleet during a split.
func TestNewsTellFewFailedCalls(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := withMembers(now.Add(-time.Minute), "h1")
	for n := range 60 {
		name := fmt.Sprintf("lost%d", n)
		c.members[name] = &member{hostRecord: hostRecord{Name: name}, unanswered: now}
	}
	g.Expect(c.failedCalls(now)).To(HaveLen(maxFailedCalls))
}
