package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against rows of lost hosts that are never removed in a fleet too large for the
// first host to hear from a majority. Each failover would wait 1.5 s for the lost
// hosts, and in time they would outnumber the running ones.
func TestRowOfLostHostIsRemovedInLargeFleet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var hosts []string
	for n := range 40 {
		hosts = append(hosts, fmt.Sprintf("z%d-h%d", n%5, n))
	}
	f := startFleet(t, manyConnections, hosts...)
	f.mu.Lock()
	f.partition["z2-h7"] = 1
	f.mu.Unlock()
	f.store.setUnavailable("z2-h7", true)
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
