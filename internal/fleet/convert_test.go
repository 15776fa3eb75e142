package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against relay hosts that compare the response times of different databases, because
// the name of the database is lost on the way.
func TestRelayRequestKeepsDatabase(t *testing.T) {
	g := NewWithT(t)
	request := gateway.RelayRequest{Database: "d", Team: "t"}
	g.Expect(decodeRelayRequest(encodeRelayRequest(request))).To(Equal(request))
}

// Guards against a host that never heard from the primary and reports that the primary has just
// answered it: each failover was aborted until the primary's row was gone.
func TestNeverAnsweredIsNotJustAnswered(t *testing.T) {
	g := NewWithT(t)
	for _, ago := range []time.Duration{-1, -time.Second} {
		g.Expect(decodeFenceReply(encodeFenceReply(gateway.FenceReply{PrimaryAnsweredAgo: ago})).PrimaryAnsweredAgo).To(BeNumerically("<", 0))
	}
	reply := gateway.FenceReply{Term: 3, PrimaryAnsweredAgo: 5 * time.Millisecond, Direct: true, SettledVersion: 9}
	g.Expect(decodeFenceReply(encodeFenceReply(reply))).To(Equal(reply))
}
