package gateway_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// listedHosts returns the number of hosts whose row is in the store.
func (f *fakeFleet) listedHosts() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	n := 0
	for key, r := range f.store.tables[gateway.TableState] {
		if !r.Deleted && strings.HasPrefix(key, "host/") {
			n++
		}
	}
	return n
}

// Guards against two primaries after hosts have joined during a network partition: a
// majority of the former hosts keeps its permission by answers, while a majority of the
// hosts listed now, without a host in common, replaces the primary (review case 1).
func TestJoiningHostsDoNotMakeASecondMajority(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	former, separated, joining := []string{"h1", "h2", "h3"}, []string{"h4", "h5"}, []string{"h6", "h7"}
	f := startFleet(t, manyConnections, append(append([]string{}, former...), separated...)...)
	f.awaitVoters(t, 5)
	f.mu.Lock()
	for _, host := range append(separated, joining...) {
		f.partition[host] = 1
		f.group.setCut(host, "e1", true)
	}
	f.mu.Unlock()
	for _, host := range former {
		f.store.setUnavailable(host, true)
	}
	for _, host := range joining {
		f.start(t, host)
	}
	g.Eventually(f.listedHosts, 3*time.Second, 20*time.Millisecond).Should(Equal(7))
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.caller("h1", "strict").do(write("a", nextID()))
	}
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	g.Expect(f.group.promotions).To(BeEmpty())
	g.Expect(f.group.replacedPrimaryWrites).To(BeZero())
}

// awaitVoters waits until a completed electorate has the given number of voters.
func (f *fakeFleet) awaitVoters(t *testing.T, n int) {
	t.Helper()
	NewWithT(t).Eventually(func() int { return len(f.voters()) }, 8*time.Second, 20*time.Millisecond).Should(Equal(n))
}

// voters returns the voters of a completed electorate; nil while it changes.
func (f *fakeFleet) voters() []string {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var record struct{ Voters, Former []string }
	if err := json.Unmarshal(f.store.tables[gateway.TableState]["electorate"].Value, &record); err != nil || len(record.Former) > 0 {
		return nil
	}
	return record.Voters
}

// Guards against a fleet that cannot replace a primary any more because all hosts that count
// towards majorities were stopped and replaced by others.
func TestReplacedFleetReplacesThePrimary(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	former, next := []string{"h1", "h2", "h3"}, []string{"h4", "h5", "h6"}
	f := startFleet(t, manyConnections, former...)
	f.awaitVoters(t, 3)
	for _, host := range next {
		f.start(t, host)
	}
	for _, host := range former {
		go f.hosts[host].Drain()
	}
	g.Eventually(f.listedHosts, 8*time.Second, 20*time.Millisecond).Should(Equal(len(next)))
	f.mu.Lock()
	for _, host := range former {
		delete(f.hosts, host)
		f.partition[host] = 1
	}
	f.mu.Unlock()
	f.group.stop("e1")
	writeUntilConfirmed(t, f, "h4", 8*time.Second)
	f.awaitVoters(t, 3)
}
