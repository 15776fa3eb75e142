package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// Guards against a fence that an older claim lifts after the store was restored, and against
// an ended term that comes back into use.
func TestOlderClaimDoesNotLiftFence(t *testing.T) {
	g := NewWithT(t)
	restored := rows.VersionInEra(1, 5)
	for name, c := range map[string]struct {
		known, next   FenceState
		fenced, ended uint64
	}{
		"withdrawal":               {FenceState{Term: 3, Version: 8, EndedTerm: 2}, FenceState{Term: 3, Version: 9, Withdrawn: true, EndedTerm: 2}, 2, 2},
		"next claim":               {FenceState{Term: 3, Version: 8, EndedTerm: 3}, FenceState{Term: 4, Version: 9, EndedTerm: 3}, 4, 3},
		"earlier version":          {FenceState{Term: 3, Version: 8, EndedTerm: 2}, FenceState{Term: 2, Version: 7, EndedTerm: 1}, 3, 2},
		"same version, ended":      {FenceState{Term: 3, Version: 8, EndedTerm: 2}, FenceState{Term: 3, Version: 8, EndedTerm: 3}, 3, 3},
		"row removed and replaced": {FenceState{Term: 3, Version: 8, EndedTerm: 3}, FenceState{Term: 2, Version: 9, Withdrawn: true, EndedTerm: 1}, 3, 3},
		"restored, earlier term":   {FenceState{Term: 3, Version: 8, EndedTerm: 2}, FenceState{Term: 2, Version: restored, EndedTerm: 2}, 3, 2},
		"restored, withdrawn":      {FenceState{Term: 3, Version: 8, EndedTerm: 2}, FenceState{Term: 3, Version: restored, Withdrawn: true, EndedTerm: 2}, 3, 2},
	} {
		gr := newGroup("g", &pool{})
		gr.setFence(c.known, boottime.Now())
		gr.setFence(c.next, boottime.Now())
		g.Expect(gr.fence.fencedTerm()).To(Equal(c.fenced), name)
		g.Expect(gr.fence.EndedTerm).To(Equal(c.ended), name)
		g.Expect(gr.fence.Term).To(BeNumerically(">=", gr.fence.EndedTerm), name)
	}
}

// Guards against a claim that declares terms ended which other hosts still use, because the
// row of the former claim is gone (issue 31).
func TestEndedTermBeforeClaimOfRemovedRow(t *testing.T) {
	g := NewWithT(t)
	f := &failover{group: newGroup("g", &pool{}), term: 3}
	g.Expect(f.endedTermBefore(stateListing{})).To(Equal(uint64(2)), "no claim was ever known")
	f.group.setFence(FenceState{Term: 1, Version: 8, EndedTerm: 1}, boottime.Now())
	g.Expect(f.endedTermBefore(stateListing{})).To(Equal(uint64(1)))
	g.Expect(f.endedTermBefore(stateListing{version: 9, claim: claimRecord{EndedTerm: 2}})).To(Equal(uint64(2)))
}
