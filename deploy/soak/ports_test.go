package soak

import (
	"net"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a host that cannot start because an outgoing connection or another
// listener took the port that was reserved for it. This happened with seeds 102, 531 and
// 546, once each, while other runs were active: "bind: address already in use".
func TestReservedPortsAreNotGivenToOthers(t *testing.T) {
	g := NewWithT(t)
	addresses, err := reservePorts(60)
	g.Expect(err).NotTo(HaveOccurred())
	seen := make(map[string]bool)
	for _, address := range addresses {
		g.Expect(seen[address]).To(BeFalse(), address)
		seen[address] = true
		_, port, err := net.SplitHostPort(address)
		g.Expect(err).NotTo(HaveOccurred())
		n, err := strconv.Atoi(port)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeNumerically("<", portLimit))
	}
	for range 200 {
		l, err := listen()
		g.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		g.Expect(seen[l.Addr().String()]).To(BeFalse())
	}
}

// Guards against a host that cannot start because the next one was given a port that was reserved for it
// ("bind: address already in use", seed 48004).
func TestReservedPortsAreNotGivenTwice(t *testing.T) {
	g := NewWithT(t)
	seen := make(map[string]bool)
	for range 400 {
		addresses, err := reservePorts(3)
		g.Expect(err).NotTo(HaveOccurred())
		for _, address := range addresses {
			g.Expect(seen[address]).To(BeFalse(), address)
			seen[address] = true
		}
	}
}

// Guards against hosts of two runs at once that take each other's ports: statements of the callers
// of one run were committed by the endpoints of the other (seed 5002 beside another run).
func TestRunsShareNoAddress(t *testing.T) {
	g := NewWithT(t)
	addresses, err := reservePorts(3)
	g.Expect(err).NotTo(HaveOccurred())
	for _, address := range addresses {
		g.Expect(address).To(HavePrefix(hostIP() + ":"))
	}
	g.Expect(hostIP()).NotTo(Equal("127.0.0.1"))
	g.Expect(net.ParseIP(hostIP()).IsLoopback()).To(BeTrue())
}
