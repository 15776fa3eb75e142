package fleet_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/fleet"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a request that counts as not sent although only its answer is missing, so that it
// is sent a second time, and against one that counts as in doubt although its connection was refused.
func TestOnlyARefusedConnectionCountsAsRefused(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	l.Close()
	c := fleet.NewClient()
	_, err = c.Exchange(t.Context(), address, gateway.GossipMessage{})
	g.Expect(err).To(HaveOccurred())
	g.Expect(c.Refused(err)).To(BeTrue())

	unresponsive := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }))
	unresponsive.Config.Protocols = fleet.Protocols()
	unresponsive.Start()
	defer unresponsive.Close()
	relay := c.Relay(strings.TrimPrefix(unresponsive.URL, "http://"), gateway.Endpoint{ID: "e"})
	_, err = relay.Run(time.Now().Add(50*time.Millisecond), gateway.RelayRequest{})
	g.Expect(err).To(HaveOccurred())
	g.Expect(c.Refused(err)).To(BeFalse())
	g.Expect(err).NotTo(MatchError(gateway.ErrNotSent))
}

// Guards against a host that acknowledges a fence for a group it does not know, and
// against a relayed request that succeeds without its endpoint.
func TestCallsReachTheGateway(t *testing.T) {
	g := NewWithT(t)
	address := startPeer(t).address
	c := fleet.NewClient()
	_, err := c.Fence(t.Context(), address, gateway.FenceRequest{Group: "g", Fence: gateway.FenceState{Term: 3, Version: 9}})
	g.Expect(err).To(HaveOccurred())
	g.Expect(c.Refused(err)).To(BeFalse())
	relay := c.Relay(address, gateway.Endpoint{ID: "e", Group: "g"})
	reply, err := relay.Run(time.Now().Add(time.Second), gateway.RelayRequest{
		Request: gateway.Request{Statement: session.Statement{ID: "q", Op: session.OpRead, Text: "READ x"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Code).To(Equal(gateway.CodeMisrouted))
	g.Expect(reply.Code.NoEffect()).To(BeTrue())
}
