package gateway_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// startSynchronousFleet starts a fleet whose group confirms a commit once one replica has
// received it, and waits until the replica set of its three endpoints is known.
func startSynchronousFleet(t *testing.T) *fakeFleet {
	t.Helper()
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	f.store.putRow(gateway.TableCatalog, "config", gateway.Catalog{
		Version: 2, IdleTransactionTimeout: 2 * time.Second,
		Groups:    map[string]gateway.Group{"g": {Name: "g", MaxConnections: manyConnections, SyncReplicas: 1}},
		Databases: map[string]gateway.Database{"strict": {Name: "strict", Group: "g", Timeout: time.Second}},
	})
	NewWithT(t).Eventually(f.replicaSet, 8*time.Second, 20*time.Millisecond).Should(Equal([]string{"e1", "e2", "e3"}))
	writeUntilConfirmed(t, f, "h1", time.Second)
	return f
}

// replicaSet returns the addresses in the row of the replica set.
func (f *fakeFleet) replicaSet() []string {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var record struct{ Addresses []string }
	if json.Unmarshal(f.store.tables[gateway.TableState]["replicas/g"].Value, &record) != nil {
		return nil
	}
	return record.Addresses
}

// Guards against the loss of acknowledged commits: one replica receives nothing, and the other
// one, which has confirmed the commits, leaves the listing before the primary crashes. The
// number of answers that a successor needs shrank with the listing (review case 3).
func TestUnlistedReplicaStillCountsForSuccessor(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startSynchronousFleet(t)
	f.group.mu.Lock()
	f.group.endpoints["e2"].notReplicating = true
	f.group.mu.Unlock()
	writeUntilConfirmed(t, f, "h1", time.Second)
	f.group.stop("e3")
	f.store.removeRow(gateway.TableEndpoints, "e3")
	time.Sleep(3 * time.Second)
	f.group.stop("e1")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.caller("h1", "strict").do(write("a", "later"))
	}
	f.group.mu.Lock()
	g.Expect(f.group.promotions).To(BeEmpty())
	f.group.endpoints["e1"].down = false
	f.group.mu.Unlock()
	writeUntilConfirmed(t, f, "h2", 4*time.Second)
}

// Guards against a group whose draining primary is never replaced because a replica is gone,
// although the other one has the whole log of the primary, which answers.
func TestDrainingPrimaryIsReplacedAlthoughReplicaIsGone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startSynchronousFleet(t)
	f.group.stop("e3")
	f.store.removeRow(gateway.TableEndpoints, "e3")
	time.Sleep(3 * time.Second)
	id := writeUntilConfirmed(t, f, "h1", time.Second)
	f.listEndpoint("e1", func(e *gateway.Endpoint) { e.Draining = true })
	g.Eventually(f.group.primaryID, 4*time.Second, 20*time.Millisecond).Should(Equal("e2"))
	g.Expect(f.group.hasWrite("e2", id)).To(BeTrue())
}

// Guards against replicas that are gone for good and count for ever: the group could lose one
// more endpoint only once.
func TestReplacedReplicaCountsNoLonger(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startSynchronousFleet(t)
	f.group.mu.Lock()
	f.group.endpoints["e3"].notReplicating = true
	f.group.mu.Unlock()
	writeUntilConfirmed(t, f, "h1", time.Second)
	f.listEndpoint("e3", func(e *gateway.Endpoint) { e.Address, e.StartedAtMs = "e3-new", 1 })
	g.Eventually(f.replicaSet, 4*time.Second, 20*time.Millisecond).Should(Equal([]string{"e1", "e2", "e3", "e3-new"}))
	g.Consistently(f.replicaSet, 2*time.Second, 20*time.Millisecond).Should(HaveLen(4), "the new endpoint lacks commits")
	f.group.mu.Lock()
	f.group.endpoints["e3"].notReplicating = false
	f.group.endpoints["e3"].log = append([]commit(nil), f.group.endpoints["e1"].log...)
	f.group.mu.Unlock()
	g.Eventually(f.replicaSet, 8*time.Second, 20*time.Millisecond).Should(Equal([]string{"e1", "e2", "e3-new"}))
}
