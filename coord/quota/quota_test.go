package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	start = time.Unix(1_000_000, 0)
	rules = Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	long  = start.Add(-time.Hour)
)

// voters returns n addresses.
func voters(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("h%d", i)
	}
	return out
}

// lenderAt returns a lender at the address that has known the voters for long.
func lenderAt(address string, limit Limit, sets ...[]string) *Lender {
	l := NewLender(rules)
	l.SetLimits(map[string]Limit{"red": limit})
	l.SetElectorate(long, address, Electorate{Version: 1, Sets: sets})
	return l
}

// Guards against terms under which more is used in a window than allowed: by the burst of all
// lenders, the rate, and tokens that are kept until they expire.
func TestTermsStayWithinTheRules(t *testing.T) {
	g := NewWithT(t)
	for _, r := range []Rules{rules, {Window: 5 * time.Second}, {Window: time.Second, Overage: 0.5}, {Window: 10 * time.Second, Slack: 1}} {
		for _, l := range []Limit{{0, 0}, {0.1, 0}, {1, 1}, {5, 10}, {37, 3}, {300, 300}, {100_000, 10}, {0, 50}} {
			terms := r.terms(l)
			most := terms.rate*(r.Window+tokenLife).Seconds() + terms.capacity
			g.Expect(most).To(BeNumerically("<=", r.Allowed(l)+1e-6), "%v %v %+v", r, l, terms)
			if l.Rate > 0 && r.Allowed(l) >= 1 {
				g.Expect(terms.rate).To(BeNumerically(">=", 0.4*r.Allowed(l)/r.Window.Seconds()))
			}
		}
	}
	g.Expect(rules.terms(Limit{Rate: 300, Burst: 300}).rate).To(BeNumerically(">=", 300))
	g.Expect(rules.terms(Limit{}).rate).To(BeZero())
}

// Guards against a host that lends although it is no lender, or not by both sets of an
// uncompleted change, or only since shortly.
func TestOnlyLendersLend(t *testing.T) {
	g := NewWithT(t)
	all := voters(20)
	ranked := Lenders("red", all, maxLenders)
	limit := Limit{Rate: 30, Burst: 30}
	lends := 0
	for _, address := range all {
		if lenderAt(address, limit, all).Lend(start, Request{Team: "red", Wanted: 1}).Lender {
			lends++
		}
	}
	g.Expect(lends).To(Equal(3))
	without := append([]string{"x1", "x2", "x3"}, ranked[1:]...)
	g.Expect(lenderAt(ranked[0], limit, all, without).Lend(start, Request{Team: "red", Wanted: 1}).Lender).To(BeFalse())
	l := NewLender(rules)
	l.SetLimits(map[string]Limit{"red": limit})
	l.SetElectorate(start, ranked[0], Electorate{Version: 1, Sets: [][]string{all}})
	g.Expect(l.Lend(start.Add(RoleDelay-time.Millisecond), Request{Team: "red", Wanted: 1}).Lender).To(BeFalse())
	g.Expect(l.Lend(start.Add(RoleDelay+time.Second), Request{Team: "red", Wanted: 1}).Tokens).To(Equal(1))
	g.Expect(l.Lend(start.Add(time.Minute), Request{Team: "blue", Wanted: 1}).Lender).To(BeFalse())
}

// Guards against a share that rises at once when voters leave: a host that does not know yet
// would lend the same share.
func TestShareRisesAfterDelay(t *testing.T) {
	g := NewWithT(t)
	l := lenderAt("h0", Limit{Rate: 30, Burst: 30}, voters(2))
	capacity := rules.terms(Limit{Rate: 30, Burst: 30}).capacity
	all := Request{Team: "red", Wanted: 1000}
	g.Expect(l.Lend(start, all).Tokens).To(Equal(int(capacity / 2)))
	l.SetElectorate(start, "h0", Electorate{Version: 3, Base: 1, Sets: [][]string{voters(1)}})
	g.Expect(l.Lend(start.Add(RoleDelay-time.Millisecond), all).Tokens).To(Equal(int(capacity / 2)))
	g.Expect(l.Lend(start.Add(time.Minute), all).Tokens).To(Equal(int(capacity)))
}

// Guards against a restarted lender that lends its burst again.
func TestRestartedLenderStartsEmpty(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 300, Burst: 3000}
	l := NewLender(rules)
	l.SetLimits(map[string]Limit{"red": limit})
	l.SetElectorate(start, "h0", Electorate{Version: 1, Sets: [][]string{voters(3)}})
	ready := start.Add(RoleDelay)
	g.Expect(l.Lend(ready, Request{Team: "red", Wanted: 0}).Tokens).To(BeZero())
	later := l.Lend(ready.Add(60*time.Millisecond), Request{Team: "red", Wanted: 100})
	g.Expect(later.Tokens).To(Equal(int(rules.terms(limit).rate / 3 * 0.06)))
	g.Expect(later.Delayed).To(And(BeNumerically(">", 0), BeNumerically("<", later.Tokens)))
}

// Guards against a lowered limit that takes effect only when the bucket has been used up, and
// against hosts that all come back for the same token.
func TestLoweredLimitTakesEffectAtOnce(t *testing.T) {
	g := NewWithT(t)
	low := Limit{Rate: 30, Burst: 30}
	l := lenderAt("h0", Limit{Rate: 3000, Burst: 3000}, voters(3))
	g.Expect(l.Lend(start, Request{Team: "red", Wanted: 1}).Tokens).To(Equal(1))
	l.SetLimits(map[string]Limit{"red": low})
	granted := l.Lend(start, Request{Team: "red", Wanted: 100})
	g.Expect(granted.Tokens).To(BeNumerically("<=", rules.terms(low).capacity/3))
	g.Expect(granted.Delay).To(BeNumerically("<=", maxDelay))
	l.reservedFor("red").reservedUntil = start
	first := l.Lend(start, Request{Team: "red", Wanted: 1}).RetryAfter
	g.Expect(l.Lend(start, Request{Team: "red", Wanted: 1}).RetryAfter).To(BeNumerically(">", first))
}

// reservedFor returns the bucket of a team.
func (l *Lender) reservedFor(team string) *bucket { return l.buckets[team] }

// Guards against one host that borrows in advance what the others need now, and against tokens
// that are borrowed in advance beside a full bucket: both could be used in one window.
func TestAdvancesCountAgainstTheCapacity(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 3000, Burst: 3000}
	capacity := int(rules.terms(limit).capacity / 3)
	l := lenderAt("h0", limit, voters(3))
	now := start
	advanced := 0
	for range 20 {
		advanced += l.Lend(now, Request{Team: "red", Extra: 1000}).Extra
	}
	g.Expect(advanced).To(And(BeNumerically(">", capacity/4), BeNumerically("<=", capacity/2)))
	now = now.Add(advanceLife - time.Millisecond)
	g.Expect(l.Lend(now, Request{Team: "red", Wanted: 1000}).Tokens).To(BeNumerically("<=", capacity-advanced+1))
	now = now.Add(time.Minute)
	g.Expect(l.Lend(now, Request{Team: "red", Wanted: math.MaxInt, Extra: -3}).Tokens).To(Equal(capacity))
}

// borrower returns a borrower with a limit for the team red and the lenders h0, h1 and h2.
func borrower() *Borrower {
	b := NewBorrower(rules, func(_ string, lenders []string) []string { return []string{"h0", "h1", "h2"} })
	b.SetLimits(map[string]Limit{"red": {Rate: 30, Burst: 30}})
	b.SetVoters(voters(3))
	return b
}

// Guards against a token that is used after it has expired, also by a refund, and against one
// that is used twice.
func TestTokensExpire(t *testing.T) {
	g := NewWithT(t)
	b := borrower()
	decision, order := b.Take(start, "red", 1, false)
	g.Expect(decision).To(Equal(Ask))
	g.Expect(order.Lender).To(Equal("h0"))
	b.Answered(start.Add(10*time.Millisecond), start, "red", "h0", Grant{Lender: true, Extra: 2})
	decision, order = b.Take(start.Add(20*time.Millisecond), "red", 1, true)
	g.Expect(decision).To(Equal(Taken))
	b.Refund("red", order.Token)
	for range 2 {
		decision, _ = b.Take(start.Add(advanceLife-time.Millisecond), "red", 1, false)
		g.Expect(decision).To(Equal(Taken))
	}
	b.Refund("red", order.Token)
	decision, order = b.Take(start.Add(advanceLife), "red", 1, false)
	g.Expect(decision).To(Equal(Ask))
	late := start.Add(advanceLife + tokenLife)
	b.Answered(late, start.Add(advanceLife), "red", order.Lender, Grant{Lender: true, Tokens: 1})
	decision, _ = b.Take(late, "red", 1, true)
	g.Expect(decision).To(Equal(Ask))
}

// Guards against a host that asks for each refused operation, and against one that gives up
// although another lender has tokens or can be reached.
func TestRefusedOperationsDoNotAskAgain(t *testing.T) {
	g := NewWithT(t)
	b := borrower()
	for _, lender := range []string{"h0", "h1", "h2"} {
		decision, order := b.Take(start, "red", 1, false)
		g.Expect(decision).To(Equal(Ask))
		g.Expect(order.Lender).To(Equal(lender))
		if lender == "h1" {
			b.Failed(start, "red", lender)
			continue
		}
		b.Answered(start, start, "red", lender, Grant{Lender: true, RetryAfter: 400 * time.Millisecond})
	}
	decision, order := b.Take(start.Add(100*time.Millisecond), "red", 1, false)
	g.Expect(decision).To(Equal(Refused))
	g.Expect(order.After).To(Equal(300 * time.Millisecond))
	decision, _ = b.Take(start.Add(400*time.Millisecond), "red", 1, false)
	g.Expect(decision).To(Equal(Ask))
}

// Guards against a host that finds out for each team that a lender does not answer.
func TestLenderThatDoesNotAnswerIsLeftOutForAllTeams(t *testing.T) {
	g := NewWithT(t)
	b := borrower()
	b.SetLimits(map[string]Limit{"red": {Rate: 30, Burst: 30}, "blue": {Rate: 30, Burst: 30}})
	_, order := b.Take(start, "red", 1, false)
	g.Expect(order.Lender).To(Equal("h0"))
	b.Failed(start, "red", "h0")
	_, order = b.Take(start, "blue", 1, false)
	g.Expect(order.Lender).To(Equal("h1"))
	_, order = b.Take(start.Add(failureBackoff), "blue", 1, false)
	g.Expect(order.Lender).To(Equal("h0"))
}

// Guards against operations that wait for a lender that is frozen although others lend, and
// against a call for each waiting operation.
func TestStalledCallIsHedged(t *testing.T) {
	g := NewWithT(t)
	b := borrower()
	_, _ = b.Take(start, "red", 1, false)
	decision, order := b.Take(start.Add(10*time.Millisecond), "red", 2, false)
	g.Expect(decision).To(Equal(Wait))
	decision, order = b.Take(start.Add(10*time.Millisecond).Add(order.After), "red", 2, true)
	g.Expect(decision).To(Equal(Ask))
	g.Expect(order.Lender).To(Equal("h1"))
	g.Expect(order.Request.Wanted).To(Equal(2))
}

// Guards against a busy host that asks for each operation, and a rarely used one that withholds
// tokens from the others.
func TestBusyHostBorrowsInAdvance(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		interval time.Duration
		least    int
		most     int
	}{{250 * time.Millisecond, 3, 4}, {10 * time.Second, 0, 0}} {
		b := borrower()
		now := start
		var order Order
		for range 50 {
			now = now.Add(c.interval)
			if d, o := b.Take(now, "red", 1, false); d == Ask {
				order = o
				b.Answered(now, now, "red", o.Lender, Grant{Lender: true, Tokens: 1})
			}
		}
		g.Expect(order.Request.Extra).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
	}
}

// Guards against tokens that a bucket gains while tokens borrowed in advance may still be used,
// if nobody asks in between: both could be used in one window.
func TestBucketStaysFullUntilAdvancesExpire(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 300, Burst: 300}
	terms := rules.terms(limit)
	l := lenderAt("h0", limit, voters(3))
	for range 20 {
		l.Lend(start, Request{Team: "red", Extra: 1000})
	}
	later := start.Add(advanceLife + 10*time.Millisecond)
	most := terms.capacity/3 - l.reservedFor("red").advanced() + terms.rate/3*0.01
	g.Expect(l.Lend(later, Request{Team: "red", Wanted: 1000}).Tokens).To(BeNumerically("<=", most))
}

// Guards against a host that goes on to lend although another one may have lent in between, by an
// electorate that this host never knew: its bucket would be full, and the other one may still lend.
func TestUnseenElectorateRestartsTheRole(t *testing.T) {
	g := NewWithT(t)
	all := [][]string{voters(3)}
	for _, c := range []struct {
		next Electorate
		goes bool
	}{
		{Electorate{Version: 5, Sets: all}, true},
		{Electorate{Version: 7, Base: 5, Sets: append(all, voters(4)[1:])}, true},
		{Electorate{Version: 8, Base: 5, Sets: [][]string{voters(3)}}, true},
		{Electorate{Version: 12, Base: 10, Sets: all}, false},
		{Electorate{Version: 12, Sets: all}, false},
	} {
		l := NewLender(rules)
		limit := Limit{Rate: 30, Burst: 30}
		l.SetLimits(map[string]Limit{"red": limit})
		l.SetElectorate(long, "h1", Electorate{Version: 5, Sets: all})
		wanted := Request{Team: "red", Wanted: 1}
		g.Expect(l.Lend(start, wanted).Tokens).To(Equal(1))
		l.SetElectorate(start, "h1", c.next)
		g.Expect(l.Lend(start, wanted).Lender).To(Equal(c.goes), "%+v", c)
		g.Expect(l.Lend(start.Add(RoleDelay), wanted).Lender).To(BeTrue(), "%+v", c)
		if !c.goes {
			g.Expect(l.reservedFor("red").tokens).To(BeNumerically("<=", 0))
		}
	}
}

// Guards against an idle bucket that is credited with a larger share, or a limit, for the time
// before it was in force.
func TestRisenShareCountsFromNowOn(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 30, Burst: 30}
	l := lenderAt("h0", limit, voters(2))
	former := rules.terms(limit).capacity / 2
	g.Expect(l.Lend(start, Request{Team: "red", Wanted: 1}).Tokens).To(Equal(1))
	l.SetElectorate(start, "h0", Electorate{Version: 3, Base: 1, Sets: [][]string{voters(1)}})
	g.Expect(l.Lend(start.Add(RoleDelay+time.Second), Request{Team: "red", Wanted: 1000}).Tokens).To(BeNumerically("<=", former))
}

// Guards against a limit that is removed and restored, so that a full bucket is lent twice.
func TestRestoredLimitKeepsTheBucket(t *testing.T) {
	g := NewWithT(t)
	limits := map[string]Limit{"red": {Rate: 30, Burst: 30}}
	l := lenderAt("h0", limits["red"], voters(3))
	g.Expect(l.Lend(start, Request{Team: "red", Wanted: 1000}).Tokens).To(BeNumerically(">", 0))
	l.SetLimits(nil)
	g.Expect(l.Lend(start, Request{Team: "red", Wanted: 1}).Lender).To(BeFalse())
	l.SetLimits(limits)
	g.Expect(l.Lend(start, Request{Team: "red", Wanted: 1000}).Tokens).To(BeZero())
}

// Guards against tokens of a limit that has been lowered since: those that the host holds, and
// those that a lender granted before it knew.
func TestTokensOfAFormerLimitAreDropped(t *testing.T) {
	g := NewWithT(t)
	b := borrower()
	_, order := b.Take(start, "red", 1, false)
	b.Answered(start, start, "red", order.Lender, Grant{Lender: true, Extra: 10})
	b.SetLimits(map[string]Limit{"red": {Rate: 1}, "blue": {Rate: 1}})
	decision, order := b.Take(start, "red", 1, false)
	g.Expect(decision).To(Equal(Ask))
	later := start.Add(time.Millisecond)
	b.SetLimits(map[string]Limit{"red": {Rate: 1}})
	decision, _ = b.Take(start, "red", 1, false)
	g.Expect(decision).To(Equal(Wait), "the limit of the team has not changed")
	b.SetLimits(map[string]Limit{"red": {Rate: 0.5}})
	decision, _ = b.Take(later, "red", 1, false)
	g.Expect(decision).To(Equal(Ask))
	b.Answered(later, start, "red", order.Lender, Grant{Lender: true, Extra: 10})
	decision, _ = b.Take(later, "red", 1, true)
	g.Expect(decision).To(Equal(Wait))
	b.Answered(later, later, "red", order.Lender, Grant{Lender: true, Tokens: 1})
	decision, taken := b.Take(later, "red", 1, true)
	g.Expect(decision).To(Equal(Taken))
	b.SetLimits(map[string]Limit{"red": {Rate: 0.1}})
	b.Refund("red", taken.Token)
	decision, _ = b.Take(later, "red", 1, false)
	g.Expect(decision).To(Equal(Ask))
}

// Guards against a host that asks again for operations for which it holds tokens that may be used
// a little later: the second ones would expire unused.
func TestDelayedTokensAreNotAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	b := borrower()
	_, order := b.Take(start, "red", 2, false)
	b.Answered(start, start, "red", order.Lender, Grant{Lender: true, Delayed: 2, Delay: 30 * time.Millisecond})
	decision, order := b.Take(start, "red", 2, true)
	g.Expect(decision).To(Equal(Wait))
	g.Expect(order.After).To(Equal(30 * time.Millisecond))
	decision, order = b.Take(start.Add(time.Millisecond), "red", 3, false)
	g.Expect(decision).To(Equal(Ask))
	g.Expect(order.Request.Wanted).To(Equal(1))
}

// Guards against a fleet without lenders after all hosts have been killed at once, and against a
// host that begins at once although it does not know whether another one still lends.
func TestRestartedLenderOfASettledElectorateBeginsAtOnce(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 30, Burst: 30}
	l := NewLender(rules)
	l.SetLimits(map[string]Limit{"red": limit})
	l.SetElectorate(start, "h0", Electorate{Version: 4, Sets: [][]string{voters(3)}})
	wanted := Request{Team: "red", Wanted: 10}
	l.Settle(start, 3)
	g.Expect(l.Lend(start, wanted).Lender).To(BeFalse())
	l.Settle(start, 4)
	g.Expect(l.Lend(start, wanted).Tokens).To(BeZero())
	g.Expect(l.Lend(start.Add(time.Second), wanted).Tokens).To(BeNumerically(">", 0))
	l.SetElectorate(start, "h0", Electorate{Version: 6, Base: 4, Sets: [][]string{voters(3), voters(4)}})
	l.SetElectorate(start, "h0", Electorate{Version: 7, Base: 4, Sets: [][]string{voters(4)}})
	l.Settle(start, 7)
	g.Expect(l.roles.views).To(HaveLen(3))
}
