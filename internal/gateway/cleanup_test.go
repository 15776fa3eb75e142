package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
	g.Eventually(f.listedHosts, 15*time.Second, 50*time.Millisecond).Should(Equal(len(hosts) - 1))
	g.Consistently(f.listedHosts, 3*time.Second, 50*time.Millisecond).Should(Equal(len(hosts) - 1))
}
