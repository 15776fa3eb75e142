package fleet

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// Guards against a message of one host that stops the mirrors of the others, keeps a group
// fenced for good, or makes data look newer than it is, because a number is out of range.
func TestGossipPartsOutOfRangeAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	const tooLarge = math.MaxUint64
	good := &fleetv1.GroupNews{Group: "g", Term: 3, AgeUs: -5, Fence: &fleetv1.Fence{Term: 2, Version: 9}}
	msg := decodeGossip(&fleetv1.News{
		Host: "h1", EvidenceAgeUs: proto.Int64(math.MinInt64),
		Groups: []*fleetv1.GroupNews{
			good,
			{Group: "term", Term: tooLarge},
			{Group: "fence", Fence: &fleetv1.Fence{Version: tooLarge}},
			{Group: "fenced term", Fence: &fleetv1.Fence{Term: tooLarge}},
			{Group: "position", Position: &fleetv1.Position{Term: 1, Offset: tooLarge}},
			{Group: "age", AgeUs: math.MinInt64},
		},
		Through:      map[string]uint64{"catalog": tooLarge, "state": 7},
		AgesUs:       map[string]int64{"catalog": 1, "state": math.MinInt64, "endpoints": math.MaxInt64},
		UnansweredUs: map[string]int64{"h2": -2_000_000, "h3": 5},
		Tables: []*fleetv1.TableNews{
			{Table: "state", From: 1, Through: 7, Rows: []*fleetv1.Row{{Key: "a", Version: 7}}},
			{Table: "catalog", Through: tooLarge},
			{Table: "endpoints", From: 9, Through: 8},
			{Table: "endpoints", Through: 8, Rows: []*fleetv1.Row{{Key: "a", Version: tooLarge}}},
		},
	})
	g.Expect(msg.Groups).To(HaveLen(1))
	g.Expect(msg.Groups[0].Age).To(BeZero())
	g.Expect(msg.EvidenceAge).To(BeNil())
	g.Expect(msg.MirrorVersions).To(Equal(map[gateway.TableName]uint64{gateway.TableState: 7}))
	g.Expect(msg.MirrorAges).To(HaveLen(2))
	g.Expect(msg.MirrorAges[gateway.TableEndpoints]).To(BeNumerically(">", 24*time.Hour))
	g.Expect(msg.FailedCallAges).To(Equal(map[string]time.Duration{"h3": 5 * time.Microsecond}))
	g.Expect(msg.Tables).To(HaveLen(1))
	g.Expect(msg.Invalid).To(Equal(12))
}

// Guards against an answer of another host that ends the process, because its transaction
// state has no name, or that counts as a success, because its code does not fit.
func TestRelayAnswersOutOfRangeAreRejected(t *testing.T) {
	g := NewWithT(t)
	for _, m := range []*fleetv1.RelayResponse{{State: 7}, {Code: 256}, {Code: 200}, {Position: &fleetv1.Position{Term: math.MaxUint64}}} {
		g.Expect(validReply(m)).To(BeFalse(), m.String())
	}
	g.Expect(validReply(&fleetv1.RelayResponse{State: 2, Code: uint32(gateway.CodeOther)})).To(BeTrue())
}

// Guards against a duration that wraps around and so changes its sign.
func TestDurationsAreLimited(t *testing.T) {
	g := NewWithT(t)
	for us, want := range map[int64]time.Duration{math.MaxInt64: maxFenceGrace, math.MinInt64: 0, -1: 0, 5000: 5 * time.Millisecond} {
		g.Expect(clampedMicros(us, maxFenceGrace)).To(Equal(want))
	}
}
