package claim_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/claim"
)

// faults draws the faults of one run. It draws from a seeded source, because
// rapid's own draws prefer small values and thus short and calm runs.
type faults struct {
	*rand.Rand
	// trouble is the percentage of messages that are lost or late.
	trouble int
}

func (r *faults) millis(limit int) time.Duration {
	return time.Duration(1+r.IntN(limit)) * time.Millisecond
}

// fate lets requests take effect long after their sender gave up on them.
func (r *faults) fate() fate {
	f := fate{request: r.millis(5), answer: r.millis(5)}
	if r.IntN(100) >= r.trouble {
		return f
	}
	switch r.IntN(4) {
	case 0:
		f.requestLost = true
	case 1:
		f.answerLost = true
	case 2:
		f.request = r.millis(3000)
	default:
		f.answer = r.millis(290)
	}
	return f
}

// disturb applies one fault that ends by itself.
func (r *faults) disturb(w *world) {
	i := r.IntN(len(w.nodes))
	n, s := w.nodes[i], w.servers[r.IntN(len(w.servers))]
	switch r.IntN(7) {
	case 0:
		n.paused = true
		w.later(r.millis(3000), func() { w.resume(n) })
	case 1, 2:
		s.down = true
		w.later(r.millis(2000), func() { s.down = false })
	case 3:
		w.restart(i)
	case 4:
		w.deliver(n, claim.Leave{})
		w.later(r.millis(2000), func() { w.restart(i) })
	case 5:
		w.deliver(n, claim.TrafficError{Address: s.address})
	case 6:
		j := r.IntN(len(w.endpoints))
		w.endpoints[j].Leaving = !w.endpoints[j].Leaving
		w.configure(n)
	}
}

// run lets time pass with faults.
func (r *faults) run(w *world, steps int) {
	interval := 10 + r.IntN(100)
	speed := make([]int, len(w.servers))
	for j := range speed {
		speed[j] = []int{3, 20, 100}[r.IntN(3)]
	}
	for i := range steps {
		w.step()
		if i%20 == 0 {
			for _, n := range w.nodes {
				w.heartbeat(n)
			}
		}
		if r.IntN(4) == 0 {
			w.write()
		}
		for j, s := range w.servers {
			if r.IntN(100) < speed[j] {
				s.replicate(w.server(s.Primary), 1+r.IntN(3))
			}
		}
		if r.IntN(interval) == 0 {
			r.disturb(w)
		}
	}
}

// settle ends all faults; then one claimant must own the group and confirm.
func settle(t *rapid.T, w *world) {
	w.fate = promptFate
	for _, s := range w.servers {
		s.down = false
	}
	for i := range w.endpoints {
		w.endpoints[i].Leaving = false
	}
	for _, n := range w.nodes {
		w.resume(n)
		w.configure(n)
	}
	w.runFor(10 * time.Second)
	o := w.owner()
	if o == nil {
		t.Fatalf("no single owner after the faults have ended")
	}
	if last := w.confirmed[len(w.confirmed)-1]; last.term != o.state.Term {
		t.Fatalf("term %d confirms no writes", o.state.Term)
	}
}

// Guards against two owners of a term, confirmed writes that a later primary
// lacks, reads under a lease that overlaps a newer owner's confirmations, terms
// that decrease, and a group that stays without owner.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &faults{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		w := newWorld(2+r.IntN(2), 3+r.IntN(3), t.Fatalf)
		for _, n := range w.nodes {
			n.rate = 0.96 + 0.08*r.Float64()
		}
		r.trouble = []int{0, 3, 10, 30}[r.IntN(4)]
		w.fate = r.fate
		r.run(w, 100+r.IntN(2000))
		settle(t, w)
		t.Logf("terms %d, owners %d, confirmed %d", len(w.started), len(w.owners), len(w.confirmed))
	})
}
