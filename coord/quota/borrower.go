package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// failureBackoff is how long a lender that did not answer is not asked again.
	failureBackoff = time.Second
	// notLenderBackoff is how long a host that does not lend is not asked again. Roles change
	// within RoleDelay of a change of the electorate.
	notLenderBackoff = 250 * time.Millisecond
	// HedgeDelay is the age of a call after which another lender is asked as well. A call takes
	// a few milliseconds unless the lender or its path is disturbed.
	HedgeDelay = 40 * time.Millisecond
	// demandWeight is the weight of the newest interval in the mean time between two operations.
	demandWeight = 0.2
	// accountKept is how long an account without operations is kept.
	accountKept = 30 * time.Second
)

// Decision says how to go on with an operation that needs a token.
type Decision uint8

// Decisions.
const (
	// Taken: a token was taken.
	Taken Decision = iota
	// Ask: the lender must be asked, see Order. Then Take is called again.
	Ask
	// Wait: a lender is being asked; Take is called again when the call has ended or after
	// Order.After.
	Wait
	// Refused: no lender has a token. Order.After says when one is expected.
	Refused
	// Unavailable: no lender can be reached. Order.After says when one is asked again.
	Unavailable
)

// Order completes a Decision.
type Order struct {
	// Lender is the address of the host to ask.
	Lender  string
	Request Request
	After   time.Duration
	// Token is the token that was taken; see Borrower.Refund.
	Token Token
}

// Token allows one operation. The zero value is that of a team without a limit.
type Token struct {
	// usableFrom and expires limit when it may be used.
	usableFrom, expires time.Time
	// epoch is that of the account when the token was borrowed.
	epoch int
}

// Borrower keeps the tokens that one host has borrowed. It is not safe for concurrent use.
type Borrower struct {
	rules    Rules
	limits   map[string]Limit
	voters   []string
	prefer   func(team string, lenders []string) []string
	accounts map[string]*account
	// downUntil holds, by address, until when a host that did not answer is not asked, for
	// whichever team.
	downUntil map[string]time.Time
	sweptAt   time.Time
	// epoch counts the calls of SetLimits.
	epoch int
}

// NewBorrower returns a borrower that knows no electorate. prefer returns the lenders of a team
// in the order in which this host asks them.
func NewBorrower(rules Rules, prefer func(team string, lenders []string) []string) *Borrower {
	return &Borrower{rules: rules, prefer: prefer, accounts: make(map[string]*account), downUntil: make(map[string]time.Time)}
}

// account is the state of one team.
type account struct {
	portions []portion
	lenders  []*lenderState
	// lastUse is when Take was last called for a new operation; interval is the mean time
	// between such calls, 0 while it is not known.
	lastUse  time.Time
	interval time.Duration
	// epoch is that of the team's limit.
	epoch int
}

// portion is a number of equal tokens.
type portion struct {
	Token
	tokens int
}

// lenderState is what the host knows about one lender of a team.
type lenderState struct {
	address string
	// askedAt is the start of the call in flight; zero if there is none.
	askedAt time.Time
	// notBefore is when the lender may be asked again.
	notBefore time.Time
	// lends is true if the host answered the last call as a lender.
	lends bool
	// refused is true if the lender had no token when it was last asked.
	refused bool
}

// SetVoters sets the voters among whom the lenders are. While a change of the electorate is not
// completed, these are the former voters.
func (b *Borrower) SetVoters(voters []string) {
	b.voters = voters
	for _, a := range b.accounts {
		a.lenders = nil
	}
}

// SetLimits replaces the limits of all teams, by name. The tokens of a team whose limit has
// changed are dropped, and so are those of calls that have not ended: a lowered limit binds a
// window that begins now.
func (b *Borrower) SetLimits(limits map[string]Limit) {
	former := b.limits
	b.limits = limits
	b.epoch++
	for team, a := range b.accounts {
		limit, ok := limits[team]
		switch {
		case !ok:
			delete(b.accounts, team)
		case limit != former[team]:
			a.epoch, a.lenders, a.portions = b.epoch, nil, nil
		}
	}
}

// Take takes a token for an operation of the team. waiting is the number of operations of the
// team that wait for a token on this host, including this one. repeated is true if Take was
// called for this operation before.
func (b *Borrower) Take(now time.Time, team string, waiting int, repeated bool) (Decision, Order) {
	limit, limited := b.limits[team]
	if !limited {
		return Taken, Order{}
	}
	b.sweep(now)
	a := b.account(team, limit)
	if !repeated {
		a.observe(now)
	}
	a.dropSpent(now)
	next := a.decide(now, team, waiting, b.downUntil)
	switch next.decision {
	case Taken:
		a.portions[next.portion].tokens--
	case Ask:
		next.lender.askedAt = now
	}
	return next.decision, next.order
}

// account returns the account of the team.
func (b *Borrower) account(team string, limit Limit) *account {
	a := b.accounts[team]
	if a == nil {
		a = &account{epoch: b.epoch}
		b.accounts[team] = a
	}
	if a.lenders == nil {
		a.lenders = b.newLenders(team, limit)
	}
	return a
}

// newLenders returns the lenders of the team in the order in which this host asks them, of which
// nothing is known yet.
func (b *Borrower) newLenders(team string, limit Limit) []*lenderState {
	var out []*lenderState
	for _, address := range b.prefer(team, Lenders(team, b.voters, b.rules.terms(limit).lenders)) {
		out = append(out, &lenderState{address: address})
	}
	return out
}

// step is a decision, with what it changes once it is carried out.
type step struct {
	decision Decision
	order    Order
	// portion is the index of the portion from which a token is taken, if the decision is Taken.
	portion int
	// lender is the one to ask, if the decision is Ask.
	lender *lenderState
}

// decide returns the next step for an operation. It changes nothing.
func (a *account) decide(now time.Time, team string, waiting int, downUntil map[string]time.Time) step {
	if i := a.nextPortion(now); i >= 0 {
		return step{decision: Taken, order: Order{Token: a.portions[i].Token}, portion: i}
	}
	held, wait := a.delayed(now)
	if held >= waiting {
		return step{decision: Wait, order: Order{After: wait}}
	}
	return a.choose(now, a.request(team, waiting-held), downUntil)
}

// request returns the request for a lender.
func (a *account) request(team string, waiting int) Request {
	r := Request{Team: team, Wanted: max(waiting, 1)}
	if a.interval > 0 {
		// Half of the tokens' lifetime leaves a chance that all of them are used.
		r.Extra = min(int(advanceLife/2/a.interval), maxTokens)
	}
	return r
}

// observe records that an operation needs a token.
func (a *account) observe(now time.Time) {
	if !a.lastUse.IsZero() {
		interval := max(now.Sub(a.lastUse), time.Microsecond)
		if a.interval == 0 {
			a.interval = interval
		}
		a.interval += time.Duration(demandWeight * float64(interval-a.interval))
	}
	a.lastUse = now
}

// spent reports whether the portion has no token that may still be used.
func (p portion) spent(now time.Time) bool { return p.tokens == 0 || !now.Before(p.expires) }

// dropSpent drops the portions that are spent.
func (a *account) dropSpent(now time.Time) {
	a.portions = slices.DeleteFunc(a.portions, func(p portion) bool { return p.spent(now) })
}

// nextPortion returns the index of the portion with the usable token that expires first; -1 if
// there is none.
func (a *account) nextPortion(now time.Time) int {
	first := -1
	for i, p := range a.portions {
		if p.spent(now) || now.Before(p.usableFrom) {
			continue
		}
		if first < 0 || p.expires.Before(a.portions[first].expires) {
			first = i
		}
	}
	return first
}

// delayed returns the number of tokens that may be used later, and the time until the next one
// may.
func (a *account) delayed(now time.Time) (int, time.Duration) {
	tokens := 0
	var next time.Duration
	for _, p := range a.portions {
		if p.spent(now) {
			continue
		}
		tokens += p.tokens
		if wait := p.usableFrom.Sub(now); next == 0 || wait < next {
			next = wait
		}
	}
	return tokens, next
}

// choose decides which lender is asked.
func (a *account) choose(now time.Time, r Request, downUntil map[string]time.Time) step {
	if len(a.lenders) == 0 {
		return step{decision: Unavailable, order: Order{After: notLenderBackoff}}
	}
	asking, refused := false, false
	next := time.Duration(math.MaxInt64)
	for _, l := range a.lenders {
		if !l.askedAt.IsZero() {
			asking = true
			if age := now.Sub(l.askedAt); age < HedgeDelay {
				return step{decision: Wait, order: Order{After: HedgeDelay - age}}
			}
			continue
		}
		if wait := l.wait(now, downUntil); wait > 0 {
			refused = refused || l.refused
			next = min(next, wait)
			continue
		}
		return step{decision: Ask, order: Order{Lender: l.address, Request: r}, lender: l}
	}
	switch {
	case asking:
		return step{decision: Wait, order: Order{After: HedgeDelay}}
	case refused:
		return step{decision: Refused, order: Order{After: next}}
	}
	return step{decision: Unavailable, order: Order{After: next}}
}

// wait returns the time until the lender may be asked; 0 if it may be asked now.
func (l *lenderState) wait(now time.Time, downUntil map[string]time.Time) time.Duration {
	notBefore := l.notBefore
	if down := downUntil[l.address]; down.After(notBefore) {
		notBefore = down
	}
	return max(notBefore.Sub(now), 0)
}

// Answered records a lender's answer to the call that began at the given time.
func (b *Borrower) Answered(now, began time.Time, team, lender string, g Grant) {
	a, l := b.find(team, lender)
	if l == nil || l.askedAt.IsZero() || began.Before(l.askedAt) {
		// The call began before the lenders or the limit changed.
		return
	}
	l.askedAt, l.refused, l.lends = time.Time{}, false, g.Lender
	delete(b.downUntil, lender)
	if !g.Lender {
		l.notBefore = now.Add(notLenderBackoff)
		return
	}
	delay := min(g.Delay, maxDelay)
	a.add(g.Tokens, Token{usableFrom: now, expires: began.Add(tokenLife)})
	a.add(g.Delayed, Token{usableFrom: now.Add(delay), expires: began.Add(delay + tokenLife)})
	a.add(g.Extra, Token{usableFrom: now, expires: began.Add(advanceLife)})
	if g.RetryAfter > 0 {
		l.refused, l.notBefore = true, now.Add(min(g.RetryAfter, maxRetryAfter))
	}
}

// add adds a number of equal tokens.
func (a *account) add(n int, token Token) {
	token.epoch = a.epoch
	if n = clampTokens(n); n > 0 {
		a.portions = append(a.portions, portion{Token: token, tokens: n})
	}
}

// Failed records that a lender did not answer. It is not asked for a while, for any team.
func (b *Borrower) Failed(now time.Time, team, lender string) {
	b.downUntil[lender] = now.Add(failureBackoff)
	if _, l := b.find(team, lender); l != nil {
		l.askedAt, l.refused, l.lends = time.Time{}, false, false
	}
}

// Reachable reports whether a lender of the team answered the last call to it, so that an
// operation which has waited in vain is refused because of the limit.
func (b *Borrower) Reachable(team string) bool {
	a := b.accounts[team]
	return a != nil && slices.ContainsFunc(a.lenders, func(l *lenderState) bool { return l.lends })
}

// find returns the account and the state of a lender, or nil.
func (b *Borrower) find(team, lender string) (*account, *lenderState) {
	a := b.accounts[team]
	if a == nil {
		return nil, nil
	}
	for _, l := range a.lenders {
		if l.address == lender {
			return a, l
		}
	}
	return a, nil
}

// Refund gives back the token of an operation that certainly did not run, for another operation
// of the team.
func (b *Borrower) Refund(team string, token Token) {
	if a := b.accounts[team]; a != nil && !token.expires.IsZero() && token.epoch == a.epoch {
		a.portions = append(a.portions, portion{Token: token, tokens: 1})
	}
}

// sweep drops the accounts of teams that have not needed a token for accountKept.
func (b *Borrower) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < accountKept {
		return
	}
	b.sweptAt = now
	maps.DeleteFunc(b.downUntil, func(_ string, until time.Time) bool { return now.After(until) })
	for team, a := range b.accounts {
		if now.Sub(a.lastUse) > accountKept {
			delete(b.accounts, team)
		}
	}
}
