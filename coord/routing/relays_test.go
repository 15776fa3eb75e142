package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/routing"
)

// Replays a second of requests of one host, 5 ms apart, through three holders that answer
// after 20 ms, of which one takes a second from the start. Guards against requests that are
// held until their deadlines at a slow holder while two others are free: a random choice
// sends it a third of them (svfb-trestle-grown scale-1, node_slow).
func TestSlowHolderGetsLittleWork(t *testing.T) {
	g := NewWithT(t)
	holders := []string{"a", "b", "slow"}
	random := rand.New(rand.NewPCG(1, 1))
	var r routing.Relays
	type request struct {
		via   string
		began int
	}
	var open []request
	takes := func(via string) int {
		if via == "slow" {
			return 1000
		}
		return 20
	}
	start := time.Unix(0, 0)
	chosen := make(map[string]int)
	for ms := range 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		kept := open[:0]
		for _, q := range open {
			if ms-q.began < takes(q.via) {
				kept = append(kept, q)
				continue
			}
			r.Ended(now, q.via, time.Duration(ms-q.began)*time.Millisecond)
		}
		open = kept
		if ms%5 != 0 {
			continue
		}
		via, ok := r.Pick(now, holders, random.IntN)
		g.Expect(ok).To(BeTrue())
		r.Began(via)
		chosen[via]++
		open = append(open, request{via: via, began: ms})
	}
	g.Expect(chosen["slow"]).To(BeNumerically("<", 20), "of 200")
	g.Expect(chosen["a"]).To(BeNumerically("~", chosen["b"], 60))
}

// Guards against a holder that was slow once and never gets work again, and against one
// that failed and gets work at once.
func TestHolderReturns(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var r routing.Relays
	first := func(int) int { return 0 }
	pick := func(at time.Time) string {
		via, ok := r.Pick(at, []string{"a", "b"}, first)
		g.Expect(ok).To(BeTrue())
		return via
	}
	r.Began("a")
	r.Ended(now, "a", time.Second)
	g.Expect(pick(now)).To(Equal("b"))
	g.Expect(pick(now.Add(5 * time.Second))).To(Equal("a"))
	g.Expect(r.Failed(now, "a", []string{"a", "b"})).To(BeTrue())
	g.Expect(pick(now)).To(Equal("b"))
	g.Expect(r.Failed(now, "b", []string{"a", "b"})).To(BeFalse())
	_, ok := r.Pick(now, nil, first)
	g.Expect(ok).To(BeFalse())
}
