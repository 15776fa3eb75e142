package fleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/beryltrestle/beryltrestle/coord/concurrency"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// fullMessage returns a message with 8 groups of 3 endpoints and 3 reports on each, the
// most that a host passes on on the users' platform.
func fullMessage() gateway.GossipMessage {
	msg := gateway.GossipMessage{Host: "h1"}
	for n := range 8 {
		g := gateway.GroupState{Group: fmt.Sprint("group-", n)}
		for id := range 3 {
			e := gateway.EndpointReports{Endpoint: fmt.Sprint("database-", n, "-", id)}
			for rank := range 3 {
				e.Reports = append(e.Reports, gateway.EndpointReport{
					Report: concurrency.Report{Rank: rank, Hosts: 3, Limit: 12, InFlight: 4, Waiting: 7, LastPriority: 2, ServiceTime: 34567 * time.Microsecond},
					Age:    time.Second + 345678*time.Microsecond,
				})
			}
			g.Endpoints = append(g.Endpoints, e)
		}
		msg.Groups = append(msg.Groups, g)
	}
	return msg
}

// Guards against parts of reports that are lost between hosts, and against gossip that grows
// beyond what slow links carry four times a second.
func TestReportsOnTheWire(t *testing.T) {
	g := NewWithT(t)
	msg := fullMessage()
	m := encodeGossip(msg)
	for n, state := range decodeGossip(m).Groups {
		g.Expect(state.Endpoints).To(Equal(msg.Groups[n].Endpoints))
	}
	with := proto.Size(m)
	for _, group := range m.Groups {
		group.Endpoints = nil
	}
	size := with - proto.Size(m)
	t.Logf("72 reports on 24 endpoints: %d bytes", size)
	g.Expect(size).To(BeNumerically("<", 2200))
}

// Guards against a report that makes an endpoint look free or full for good because a number
// is out of range.
func TestReportsOutOfRangeAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	good := func() *fleetv1.EndpointReport {
		return &fleetv1.EndpointReport{Rank: 1, Hosts: 3, Limit: 8, ServiceUs: 10}
	}
	reports := []*fleetv1.EndpointReport{good()}
	for _, damage := range []func(*fleetv1.EndpointReport){
		func(r *fleetv1.EndpointReport) { r.Rank = 3 },
		func(r *fleetv1.EndpointReport) { r.Hosts = math.MaxUint32 },
		func(r *fleetv1.EndpointReport) { r.Limit = math.MaxUint32 },
		func(r *fleetv1.EndpointReport) { r.InFlight = math.MaxUint32 },
		func(r *fleetv1.EndpointReport) { r.Waiting = math.MaxUint32 },
		func(r *fleetv1.EndpointReport) { r.LastPriority = math.MaxUint32 },
		func(r *fleetv1.EndpointReport) { r.ServiceUs = -1 },
		func(r *fleetv1.EndpointReport) { r.ServiceUs = math.MaxInt64 },
		func(r *fleetv1.EndpointReport) { r.AgeUs = math.MinInt64 },
	} {
		r := good()
		damage(r)
		reports = append(reports, r)
	}
	msg := decodeGossip(&fleetv1.News{Groups: []*fleetv1.GroupNews{{Group: "g", Endpoints: []*fleetv1.EndpointNews{{Endpoint: "e", Reports: reports}}}}})
	g.Expect(msg.Groups).To(HaveLen(1))
	g.Expect(msg.Groups[0].Endpoints[0].Reports).To(HaveLen(1))
	g.Expect(msg.Invalid).To(Equal(len(reports) - 1))
}
