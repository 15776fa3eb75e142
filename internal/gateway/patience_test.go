package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a ranking of all hosts on every tick, and against an answer that
// differs from the one with the rank.
func TestRankIsAskedOnlyIfItDecides(t *testing.T) {
	g := NewWithT(t)
	for _, p := range []patience{claimsPatience, feedPatience} {
		for rank := range 40 {
			for age := time.Duration(0); age < 3*time.Second; age += 50 * time.Millisecond {
				asked := false
				due := p.due(age, func() int { asked = true; return rank })
				g.Expect(due).To(Equal(age >= p.of(rank)))
				if age < p.first || age >= p.most {
					g.Expect(asked).To(BeFalse())
				}
			}
		}
	}
}
