package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
)

// Guards against a large fleet whose hosts stop using primaries while the store is out of
// reach, because only few of them ask the majority for the permission, and against one
// whose hosts all ask it.
func TestLargeFleetUsesPrimariesWithoutStore(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const (
		maxCallsPerHostAndRound = 8
		outage                  = 5 * time.Second
		gossipRounds            = int(outage / (250 * time.Millisecond))
	)
	var hosts []string
	for n := range 40 {
		hosts = append(hosts, fmt.Sprintf("z%d-h%d", n%3, n))
	}
	f := startFleet(t, manyConnections, hosts...)
	for _, h := range hosts {
		f.store.setUnavailable(h, true)
	}
	exchanges := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.exchanges
	}
	before := exchanges()
	served, total := 0, 0
	for end := time.Now().Add(outage); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		host := hosts[total%len(hosts)]
		total++
		reply := f.caller(host, "strict").do(session.Statement{ID: "q", Op: session.OpRead, Text: "READ x"})
		if reply.OK() {
			served++
		}
	}
	g.Expect(served).To(Equal(total))
	g.Expect(exchanges() - before).To(BeNumerically("<=", maxCallsPerHostAndRound*gossipRounds*len(hosts)))
}
