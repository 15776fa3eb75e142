package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// explainScript makes a borrower meet every decision. explain is called before each step, with
// operation set if the step is an operation.
func explainScript(b *Borrower, explain func(now time.Time, operation bool)) []Decision {
	var out []Decision
	take := func(ms int) {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		explain(now, true)
		d, _ := b.Take(now, "red", 1, false)
		out = append(out, d)
	}
	answer := func(ms int, lender string, g Grant) {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		explain(now, false)
		b.Answered(now, now, "red", lender, g)
	}
	take(0)
	take(1)
	answer(2, "h0", Grant{Lender: true, Tokens: 1, Delayed: 1, Delay: 50 * time.Millisecond, RetryAfter: 400 * time.Millisecond})
	take(3)
	take(4)
	take(60)
	take(61)
	b.Failed(start.Add(62*time.Millisecond), "red", "h1")
	take(63)
	answer(64, "h2", Grant{})
	take(65)
	answer(66, "h0", Grant{Lender: true, Extra: 5})
	take(410)
	b.Failed(start.Add(411*time.Millisecond), "red", "h0")
	take(412)
	b.Failed(start.Add(413*time.Millisecond), "red", "h2")
	take(414)
	return out
}

// Guards against an explanation that takes a token, marks a lender as asked, creates an account
// or drops one, so that the operations after it are decided differently.
func TestExplainChangesNoDecision(t *testing.T) {
	g := NewWithT(t)
	decisions := explainScript(borrower(), func(time.Time, bool) {})
	explained := borrower()
	g.Expect(explainScript(explained, func(now time.Time, _ bool) {
		for range 3 {
			explained.Explain(now, "red", 1)
			explained.Explain(now, "blue", 1)
		}
	})).To(Equal(decisions))
	g.Expect(decisions).To(ContainElements(Taken, Ask, Wait, Refused, Unavailable))
	fresh := borrower()
	fresh.Explain(start, "red", 1)
	g.Expect(fresh.accounts).To(BeEmpty())
}

// Guards against an explanation that differs from what the next operation meets.
func TestExplanationIsTheNextDecision(t *testing.T) {
	g := NewWithT(t)
	b := borrower()
	var explained []Explanation
	decisions := explainScript(b, func(now time.Time, operation bool) {
		if x := b.Explain(now, "red", 1); operation {
			explained = append(explained, x)
		}
	})
	g.Expect(explained).To(HaveLen(len(decisions)))
	for i, d := range decisions {
		g.Expect(explained[i].Decision).To(Equal(d), "operation %d", i)
	}
	g.Expect(b.Explain(start, "blue", 1).Limited).To(BeFalse())
}

// Guards against an explanation that shows a wrong state or time of a lender, or counts tokens
// that have expired.
func TestExplanationShowsTokensAndLenders(t *testing.T) {
	g := NewWithT(t)
	b := borrower()
	b.Take(start, "red", 1, false)
	g.Expect(b.Explain(start, "red", 1).Lenders[0].Status).To(Equal(LenderAsked))
	b.Answered(start, start, "red", "h0", Grant{Lender: true, Tokens: 2, Delayed: 3, Delay: 50 * time.Millisecond, RetryAfter: 400 * time.Millisecond})
	b.Failed(start, "red", "h1")
	x := b.Explain(start, "red", 1)
	g.Expect(x.Limit).To(Equal(Limit{Rate: 30, Burst: 30}))
	g.Expect([]int{x.Usable, x.Delayed}).To(Equal([]int{2, 3}))
	g.Expect(x.Lenders).To(Equal([]LenderExplanation{
		{Address: "h0", Status: LenderRefused, Wait: 400 * time.Millisecond},
		{Address: "h1", Status: LenderUnreachable, Wait: failureBackoff},
		{Address: "h2", Status: LenderReady},
	}))
	x = b.Explain(start.Add(tokenLife), "red", 1)
	g.Expect([]int{x.Usable, x.Delayed}).To(Equal([]int{3, 0}))
	x = b.Explain(start.Add(tokenLife+50*time.Millisecond), "red", 1)
	g.Expect([]int{x.Usable, x.Delayed}).To(Equal([]int{0, 0}))
	g.Expect(x.Decision).To(Equal(Ask))
	g.Expect(x.Order.Lender).To(Equal("h2"))
}
