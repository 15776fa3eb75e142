package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

func at(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

func endpoints(slots int) []admission.Endpoint {
	return []admission.Endpoint{
		{Name: "primary", Slots: slots, Primary: true, Accepting: true},
		{Name: "replica-1", Slots: slots, Accepting: true},
		{Name: "replica-2", Slots: slots, Accepting: true},
	}
}

// Guards against a baseline that does more than serve in arrival order on the primary
// with each slot used once: the comparison with it would be wrong.
func TestFIFOServesInArrivalOrderOnThePrimary(t *testing.T) {
	g := NewWithT(t)
	s := admission.NewFIFO(admission.FIFOConfig{})
	s.SetEndpoints(at(0), endpoints(1))
	for id := range uint64(3) {
		deadline := at(1000)
		if id == 1 {
			deadline = at(10)
		}
		g.Expect(s.Enqueue(at(0), admission.Work{ID: id, ReadOnly: true, Deadline: deadline})).To(BeNil())
	}
	grants, refusals := s.Dispatch(at(0))
	g.Expect(grants).To(HaveLen(1))
	g.Expect(refusals).To(BeEmpty())
	g.Expect(grants[0].Endpoint).To(Equal("primary"))
	g.Expect(s.NextWake(at(0))).To(Equal(at(10)))

	s.Release(at(10), grants[0], 10*time.Millisecond, false)
	s.Release(at(10), grants[0], 10*time.Millisecond, false)
	grants, refusals = s.Dispatch(at(10))
	g.Expect(refusals).To(HaveLen(1))
	g.Expect(refusals[0].Work.ID).To(Equal(uint64(1)))
	g.Expect(grants).To(HaveLen(1))
	g.Expect(grants[0].Work.ID).To(Equal(uint64(2)))
	g.Expect(s.Len()).To(Equal(0))
}
