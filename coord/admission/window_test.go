package admission

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against hosts that keep sending to an endpoint which sheds: 13 hosts with 3
// connections each send 39 requests to an endpoint that takes 27.
func TestWindowsOfManyHostsFitTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	const hosts, room, rounds = 13, 27, 400
	windows := make([]*Window, hosts)
	for i := range windows {
		windows[i] = NewWindow(3)
	}
	shed, sent := 0, 0
	for round := range rounds {
		taken := 0
		for i := range windows {
			// The order rotates, so that no host is always last.
			w := windows[(i+round)%hosts]
			for n := 0; w.Allows(n) && n < 3; n++ {
				sent++
				if taken == room {
					shed++
					w.Shed()
					break
				}
				taken++
				w.Answered()
			}
		}
	}
	// Without windows 12 of 39 would be shed.
	g.Expect(float64(shed) / float64(sent)).To(BeNumerically("<", 0.15))
	g.Expect(float64(sent-shed) / (rounds * room)).To(BeNumerically(">", 0.8))
}

// Guards against a window that never opens again, and one that closes altogether.
func TestWindowRecovers(t *testing.T) {
	g := NewWithT(t)
	w := NewWindow(4)
	for range 20 {
		w.Shed()
	}
	g.Expect(w.Allows(0)).To(BeTrue())
	g.Expect(w.Allows(1)).To(BeFalse())
	for range 20 {
		w.Answered()
	}
	g.Expect(w.Allows(3)).To(BeTrue())
	g.Expect(w.Allows(4)).To(BeFalse())
	w.SetLimit(2)
	g.Expect(w.Allows(2)).To(BeFalse())
	w.SetLimit(6)
	g.Expect(w.Allows(5)).To(BeTrue())
}
