package quota

import (
	"math"
	"time"
)

// extraShare is the part of the tokens in a bucket that a host may borrow in advance, so that
// one host does not withhold all of them from the others.
const extraShare = 0.25

// maxTokens limits the tokens of one request.
const maxTokens = 1_000_000

// Request asks a lender for tokens.
type Request struct {
	Team string
	// Wanted is the number of operations that wait for a token, Extra the number of tokens to
	// borrow in advance.
	Wanted, Extra int
	// Returned is the number of tokens that are given back unused to the lender's incarnation
	// ReturnedTo.
	Returned   int
	ReturnedTo uint64
}

// Grant is the answer to a Request.
type Grant struct {
	// Lender is false if the host does not lend for the team now. The other fields are then
	// not set.
	Lender bool
	// Incarnation identifies the lender's process.
	Incarnation uint64
	Tokens      int
	// Life is how long the tokens may be used, from the start of the call that borrowed them.
	Life time.Duration
	// RetryAfter is the time after which the lender expects to have a token; 0 if it has
	// granted all that was wanted.
	RetryAfter time.Duration
}

// Lender lends the tokens of teams on one host. It is not safe for concurrent use.
type Lender struct {
	rules       Rules
	incarnation uint64
	roles       roles
	limits      map[string]Limit
	buckets     map[string]*bucket
}

// NewLender returns a lender that knows no electorate. The incarnation must differ from that of
// every earlier process at the same address.
func NewLender(rules Rules, incarnation uint64) *Lender {
	return &Lender{rules: rules, incarnation: incarnation, buckets: make(map[string]*bucket)}
}

// SetElectorate records the sets of voters that the host at the address self knows from now on:
// the voters and, until a change is completed, the former voters. Without sets it does not lend.
func (l *Lender) SetElectorate(now time.Time, self string, sets [][]string) {
	l.roles.set(now, self, sets)
	for team := range l.buckets {
		if l.roles.views[len(l.roles.views)-1].divisor(team, self, l.rules.terms(l.limits[team]).lenders) == 0 {
			delete(l.buckets, team)
		}
	}
}

// SetLimits replaces the limits of all teams, by name. Teams without a limit are left out.
func (l *Lender) SetLimits(limits map[string]Limit) {
	l.limits = limits
	l.roles.forgetDivisors()
	for team := range l.buckets {
		if _, ok := limits[team]; !ok {
			delete(l.buckets, team)
		}
	}
}

// Lend answers a request. The host must have the permission that the package comment names.
func (l *Lender) Lend(now time.Time, r Request) Grant {
	limit, limited := l.limits[r.Team]
	if !limited {
		return Grant{}
	}
	terms := l.rules.terms(limit)
	divisor := l.roles.divisor(now, r.Team, terms.lenders)
	if divisor == 0 {
		return Grant{}
	}
	b := l.buckets[r.Team]
	if b == nil {
		b = &bucket{at: l.roles.since(r.Team, terms.lenders)}
		l.buckets[r.Team] = b
	}
	b.refill(now, terms.rate/float64(divisor), terms.capacity/float64(divisor))
	if r.ReturnedTo == l.incarnation {
		b.tokens += float64(clampTokens(r.Returned))
		b.tokens = math.Min(b.tokens, b.capacity)
	}
	wanted := clampTokens(r.Wanted)
	granted := b.take(wanted, 1)
	granted += b.take(clampTokens(r.Extra), extraShare)
	out := Grant{Lender: true, Incarnation: l.incarnation, Tokens: granted, Life: terms.life}
	if granted < wanted {
		out.RetryAfter = b.nextToken()
	}
	return out
}

// clampTokens limits a number of tokens from another host.
func clampTokens(n int) int { return max(min(n, maxTokens), 0) }

// bucket is a token bucket.
type bucket struct {
	tokens, rate, capacity float64
	// at is the time as of which tokens is valid.
	at time.Time
}

// refill adds the tokens of the time since the last call, by the rate and up to the capacity
// that are in force from now on. A time that lies before the last one adds nothing.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	b.rate, b.capacity = rate, capacity
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.at = now
	}
	b.tokens = math.Min(b.tokens, capacity)
}

// take takes up to n whole tokens, at most the given share of those in the bucket.
func (b *bucket) take(n int, share float64) int {
	taken := min(n, int(b.tokens*share))
	b.tokens -= float64(taken)
	return taken
}

// maxRetryAfter limits the time after which a refused host asks again, since the limit may be
// raised meanwhile.
const maxRetryAfter = time.Second

// nextToken returns the time until the bucket holds a whole token.
func (b *bucket) nextToken() time.Duration {
	if b.rate <= 0 || b.capacity < 1 {
		return maxRetryAfter
	}
	seconds := math.Max(1-b.tokens, 0) / b.rate
	return time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
