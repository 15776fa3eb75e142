package quota

import "time"

// LenderStatus says whether a lender is asked for tokens.
type LenderStatus string

// Statuses of lenders.
const (
	// LenderReady: the lender may be asked.
	LenderReady LenderStatus = "ready"
	// LenderAsked: a call to the lender is in flight.
	LenderAsked LenderStatus = "asked"
	// LenderRefused: the lender had no token.
	LenderRefused LenderStatus = "refused"
	// LenderUnreachable: the host did not answer a call for any team.
	LenderUnreachable LenderStatus = "unreachable"
	// LenderNotLending: the host answered that it does not lend.
	LenderNotLending LenderStatus = "not lending"
)

// LenderExplanation is what a host knows about one lender of a team.
type LenderExplanation struct {
	Address string
	Status  LenderStatus
	// Wait is the time until the lender is asked again; 0 if it may be asked now or a call is in
	// flight.
	Wait time.Duration
}

// Explanation is what a borrower would decide, and why.
type Explanation struct {
	// Limited is false for a team without a limit. The other fields are then not set, except for
	// the decision.
	Limited bool
	Limit   Limit
	// Usable is the number of tokens that may be used now, Delayed that of tokens that may be
	// used later.
	Usable, Delayed int
	// Lenders holds the lenders in the order in which this host asks them.
	Lenders  []LenderExplanation
	Decision Decision
	Order    Order
}

// Explain returns the decision that Take would return for a new operation of the team, and what
// it follows from. It changes nothing. Order.Request.Extra is that of the former operation.
func (b *Borrower) Explain(now time.Time, team string, waiting int) Explanation {
	limit, limited := b.limits[team]
	if !limited {
		return Explanation{Decision: Taken}
	}
	var a account
	if known := b.accounts[team]; known != nil {
		a = *known
	}
	if a.lenders == nil {
		a.lenders = b.newLenders(team, limit)
	}
	next := a.decide(now, team, waiting, b.downUntil)
	out := Explanation{Limited: true, Limit: limit, Decision: next.decision, Order: next.order}
	for _, p := range a.portions {
		switch {
		case p.spent(now):
		case now.Before(p.usableFrom):
			out.Delayed += p.tokens
		default:
			out.Usable += p.tokens
		}
	}
	for _, l := range a.lenders {
		out.Lenders = append(out.Lenders, l.explain(now, b.downUntil))
	}
	return out
}

// explain returns the state of the lender.
func (l *lenderState) explain(now time.Time, downUntil map[string]time.Time) LenderExplanation {
	out := LenderExplanation{Address: l.address, Status: LenderReady}
	if !l.askedAt.IsZero() {
		out.Status = LenderAsked
		return out
	}
	out.Wait = l.wait(now, downUntil)
	switch {
	case out.Wait == 0:
	case now.Before(downUntil[l.address]):
		out.Status = LenderUnreachable
	case l.refused:
		out.Status = LenderRefused
	default:
		out.Status = LenderNotLending
	}
	return out
}

// String returns the name of the decision.
func (d Decision) String() string {
	switch d {
	case Taken:
		return "taken"
	case Ask:
		return "ask"
	case Wait:
		return "wait"
	case Refused:
		return "refused"
	}
	return "unavailable"
}
