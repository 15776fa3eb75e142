package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against rows of hosts that are gone and that stay for ever in fleets too large
// for the first host to hear from a majority: each change of primary would wait 1.5 s for
// them, and in time they would outnumber the hosts that run.
func TestRowOfALostHostIsRemovedFromALargeFleet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var hosts []string
	for n := range 40 {
		hosts = append(hosts, fmt.Sprintf("z%d-h%d", n%5, n))
	}
	f := startFleet(t, manyConnections, hosts...)
	f.mu.Lock()
	f.side["z2-h7"] = 1
	f.mu.Unlock()
	f.store.setAway("z2-h7", true)
	listed := func() int {
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
	g.Eventually(listed, 15*time.Second, 50*time.Millisecond).Should(Equal(len(hosts) - 1))
	g.Consistently(listed, 3*time.Second, 50*time.Millisecond).Should(Equal(len(hosts) - 1))
}
