package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// putRaw writes a row with any bytes on behalf of another writer.
func (s *fakeStore) putRaw(table gateway.TableName, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(table, rows.Row{Key: key, Value: []byte(value)})
}

// start starts a stopped endpoint as a replica of the current primary.
func (g *fakeGroup) start(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, primary := g.endpoints[id], g.primary()
	e.down, e.primary, e.term, e.log = false, false, primary.term, append([]commit(nil), primary.log...)
}

// fences returns the fences of all promotions in their order.
func (g *fakeGroup) fences(t *testing.T) []uint64 {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []uint64
	for _, p := range g.promotions {
		var holder, endpoint string
		var fence uint64
		_, err := fmt.Sscan(p, &holder, &fence, &endpoint)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		out = append(out, fence)
	}
	return out
}

// oddRows are rows of another writer that are not valid in any table.
var oddRows = map[string]string{
	"deep": strings.Repeat("[", 200_000), "bytes": "\xff\x00", "number": "7", "empty": "",
	"large": `{"name":"large","address":"` + strings.Repeat("x", 1<<20) + `"}`,
}

// Guards against rows of another writer that end a host, stop it from following the tables,
// keep a group fenced for good, or lower the fence of the next promotion.
func TestOddRowsOfAnotherWriter(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	f.group.stop("e1")
	writeUntilConfirmed(t, f, "h1", 6*time.Second)
	for key, value := range oddRows {
		f.store.putRaw(gateway.TableCatalog, key, value)
		f.store.putRaw(gateway.TableEndpoints, key, value)
		f.store.putRaw(gateway.TableState, "host/"+key, value)
		f.store.putRaw(gateway.TableState, "claim/"+key, value)
		f.store.putRaw(gateway.TableState, key, value)
	}
	f.store.putRaw(gateway.TableState, "host/other", `{"name":"h1","address":"h1","incarnation":1}`)
	f.store.putRaw(gateway.TableState, "claim/g", `{"holder":"x","fence":18446744073709551615,"term":18446744073709551615}`)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		writeUntilConfirmed(t, f, "h2", time.Second)
	}
	f.group.mu.Lock()
	second := f.group.primary().id
	f.group.mu.Unlock()
	f.group.start("e1")
	f.group.stop(second)
	writeUntilConfirmed(t, f, "h3", 8*time.Second)
	f.store.removeRow(gateway.TableState, "claim/g")
	f.group.mu.Lock()
	third := f.group.primary().id
	f.group.mu.Unlock()
	f.group.start(second)
	f.group.stop(third)
	writeUntilConfirmed(t, f, "h1", 8*time.Second)
	fences := f.group.fences(t)
	g.Expect(len(fences)).To(BeNumerically(">=", 3))
	for i := range fences[1:] {
		g.Expect(fences[i+1]).To(BeNumerically(">=", fences[i]), "%v", fences)
	}
}
