package claim_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/claim"
)

// faults generates the faults of one run. It uses a seeded random source, because
// rapid's own draws prefer small values and thus short runs with few faults.
type faults struct {
	*rand.Rand
	// faultPercent is the percentage of messages that are lost or late.
	faultPercent int
}

func (r *faults) millis(limit int) time.Duration {
	return time.Duration(1+r.IntN(limit)) * time.Millisecond
}

// delivery returns the random delivery of one message. Some requests arrive long after
// their sender has reported them as failed.
func (r *faults) delivery() delivery {
	d := delivery{requestDelay: r.millis(5), answerDelay: r.millis(5)}
	if r.IntN(100) >= r.faultPercent {
		return d
	}
	switch r.IntN(4) {
	case 0:
		d.requestLost = true
	case 1:
		d.answerLost = true
	case 2:
		d.requestDelay = r.millis(3000)
	default:
		d.answerDelay = r.millis(290)
	}
	return d
}

// injectFault injects one random fault. Every fault but a changed Leaving mark ends by
// itself.
func (r *faults) injectFault(cl *cluster) {
	i := r.IntN(len(cl.daemons))
	n, s := cl.daemons[i], cl.servers[r.IntN(len(cl.servers))]
	switch r.IntN(7) {
	case 0:
		n.paused = true
		cl.schedule(r.millis(3000), func() { cl.resume(n) })
	case 1, 2:
		s.down = true
		cl.schedule(r.millis(2000), func() { s.down = false })
	case 3:
		cl.restart(i)
	case 4:
		cl.deliver(n, claim.Leave{})
		cl.schedule(r.millis(2000), func() { cl.restart(i) })
	case 5:
		cl.deliver(n, claim.TrafficError{Address: s.address})
	case 6:
		j := r.IntN(len(cl.endpoints))
		cl.endpoints[j].Leaving = !cl.endpoints[j].Leaving
		cl.configure(n)
	}
}

// run runs the given number of steps with random faults.
func (r *faults) run(cl *cluster, steps int) {
	faultInterval := 10 + r.IntN(100)
	replicatePercent := make([]int, len(cl.servers))
	for j := range replicatePercent {
		replicatePercent[j] = []int{3, 20, 100}[r.IntN(3)]
	}
	for i := range steps {
		cl.step()
		if i%20 == 0 {
			for _, n := range cl.daemons {
				cl.heartbeat(n)
			}
		}
		if r.IntN(4) == 0 {
			cl.write()
		}
		for j, s := range cl.servers {
			if r.IntN(100) < replicatePercent[j] {
				s.replicate(cl.server(s.Primary), 1+r.IntN(3))
			}
		}
		if r.IntN(faultInterval) == 0 {
			r.injectFault(cl)
		}
	}
}

// checkRecovery ends all faults and checks that one daemon then owns the group and
// confirms writes.
func checkRecovery(t *rapid.T, cl *cluster) {
	cl.delivery = promptDelivery
	for _, s := range cl.servers {
		s.down = false
	}
	for i := range cl.endpoints {
		cl.endpoints[i].Leaving = false
	}
	for _, n := range cl.daemons {
		cl.resume(n)
		cl.configure(n)
	}
	cl.runFor(10 * time.Second)
	o := cl.owner()
	if o == nil {
		t.Fatalf("no single owner after the faults have ended")
	}
	if last := cl.confirmed[len(cl.confirmed)-1]; last.term != o.state.Term {
		t.Fatalf("term %d confirms no writes", o.state.Term)
	}
}

// Guards against two owners of a term, confirmed writes that a later primary lacks, a
// valid lease while a newer owner confirms writes, terms that decrease, and a group
// that stays without an owner.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &faults{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		cl := newCluster(2+r.IntN(2), 3+r.IntN(3), t.Fatalf)
		for _, n := range cl.daemons {
			n.rate = 0.96 + 0.08*r.Float64()
		}
		r.faultPercent = []int{0, 3, 10, 30}[r.IntN(4)]
		cl.delivery = r.delivery
		r.run(cl, 100+r.IntN(2000))
		checkRecovery(t, cl)
		t.Logf("terms %d, owners %d, confirmed %d", len(cl.promotionLogs), len(cl.owners), len(cl.confirmed))
	})
}
