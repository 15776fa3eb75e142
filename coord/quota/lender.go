package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// advanceShare is the part of a bucket's capacity that may be borrowed in advance.
	advanceShare = 0.5
	// hostShare is the part of what may be borrowed in advance that one host gets at once.
	hostShare = 0.25
	// bucketKept is how long a bucket is kept that nobody asks for.
	bucketKept = 30 * time.Second
	// maxTokens limits the tokens of one request.
	maxTokens = 1_000_000
	// maxDelay limits how far in advance tokens are lent that the bucket does not hold yet.
	// Operations wait that long for a token, which is a small part of the shortest latency
	// objective of 150 ms.
	maxDelay = 40 * time.Millisecond
	// callsPerToken is how many calls of refused hosts are expected for each token, so that
	// every token is taken although some hosts do not come back.
	callsPerToken = 2
	// minRetryAfter and maxRetryAfter limit the time after which a refused host asks again. The
	// limit may be raised meanwhile, and the tokens of hosts that do not come back are free.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
)

// Request asks a lender for tokens.
type Request struct {
	Team string
	// Wanted is the number of operations that wait for a token, Extra the number of tokens to
	// borrow in advance.
	Wanted, Extra int
}

// Grant is the answer to a Request.
type Grant struct {
	// Lender is false if the host does not lend for the team now. The other fields are then
	// not set.
	Lender bool
	// Tokens is the number of tokens for operations that wait. They must be used within
	// tokenLife of the start of the call that borrowed them.
	Tokens int
	// Delayed is the number of further tokens that must not be used before Delay after the
	// answer, and must be used within Delay+tokenLife of the start of the call.
	Delayed int
	Delay   time.Duration
	// Extra is the number of tokens that were borrowed in advance. They must be used within
	// advanceLife of the start of the call.
	Extra int
	// RetryAfter is the time after which the lender expects to have a token; 0 if it has
	// granted all that was wanted.
	RetryAfter time.Duration
}

// Lender lends the tokens of teams on one host. It is not safe for concurrent use.
type Lender struct {
	rules   Rules
	roles   roles
	limits  map[string]Limit
	buckets map[string]*bucket
	sweptAt time.Time
}

// NewLender returns a lender that knows no electorate.
func NewLender(rules Rules) *Lender {
	return &Lender{rules: rules, buckets: make(map[string]*bucket)}
}

// SetElectorate records the electorate that the host at the address self knows from now on.
// Without sets of voters it does not lend.
func (l *Lender) SetElectorate(now time.Time, self string, e Electorate) {
	switch l.roles.set(now, self, e) {
	case unchanged:
		return
	case restarted:
		clear(l.buckets)
		return
	}
	for team := range l.buckets {
		if l.roles.last().divisor(team, self, l.rules.terms(l.limits[team]).lenders) == 0 {
			delete(l.buckets, team)
		}
	}
}

// Settle records that the electorate of the version has been in force for RoleDelay. The host need
// not wait for RoleDelay then, although it learned of the electorate only now.
func (l *Lender) Settle(now time.Time, version uint64) { l.roles.settle(now, version) }

// SetLimits replaces the limits of all teams, by name. Teams without a limit are left out. Their
// buckets are kept in case the limit is restored before the window has passed.
func (l *Lender) SetLimits(limits map[string]Limit) {
	l.limits = limits
	l.roles.forgetDivisors()
}

// sweep drops the buckets that nobody has asked for since so long that no window has tokens of
// before and after.
func (l *Lender) sweep(now time.Time) {
	kept := max(bucketKept, 2*l.rules.Window)
	if now.Sub(l.sweptAt) < kept {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.buckets, func(_ string, b *bucket) bool { return now.Sub(b.at) > kept })
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
	l.sweep(now)
	rate, capacity := terms.rate/float64(divisor), terms.capacity/float64(divisor)
	b := l.buckets[r.Team]
	if b == nil {
		b = &bucket{rate: rate, capacity: capacity, at: l.roles.since(r.Team, terms.lenders)}
		l.buckets[r.Team] = b
	}
	b.refill(now, rate, capacity)
	wanted := clampTokens(r.Wanted)
	out := Grant{Lender: true, Tokens: b.take(wanted)}
	out.Delayed, out.Delay = b.takeDelayed(wanted - out.Tokens)
	if missing := wanted - out.Tokens - out.Delayed; missing > 0 {
		out.RetryAfter = b.reserve(now, missing)
		return out
	}
	out.Extra = b.takeAdvance(now, clampTokens(r.Extra))
	return out
}

// clampTokens limits a number of tokens from another host.
func clampTokens(n int) int { return max(min(n, maxTokens), 0) }

// bucket is a token bucket.
type bucket struct {
	// tokens is negative if tokens were lent that the bucket does not hold yet.
	tokens, rate, capacity float64
	// at is the time as of which tokens is valid.
	at time.Time
	// advances are the tokens that were borrowed in advance and may not have been used yet, in
	// order of expiry. They and tokens together never exceed the capacity.
	advances []advance
	// reservedUntil is when the tokens are expected for which hosts have been told to come back.
	reservedUntil time.Time
}

// advance is a number of tokens that were borrowed in advance.
type advance struct {
	tokens  float64
	expires time.Time
}

// refill adds the tokens of the time since the last call, and sets the rate and the capacity from
// now on. For the time before, the smaller ones count, as the larger ones may not have been in
// force. A time that lies before the last one adds nothing.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	b.rate, b.capacity = min(rate, b.rate), min(capacity, b.capacity)
	for len(b.advances) > 0 && !now.Before(b.advances[0].expires) {
		// Until it expires, the advance keeps the bucket from filling up.
		b.fill(b.advances[0].expires)
		b.advances = b.advances[1:]
	}
	b.fill(now)
	b.rate, b.capacity = rate, capacity
}

// fill adds the tokens of the time up to the given one.
func (b *bucket) fill(until time.Time) {
	if elapsed := until.Sub(b.at); elapsed > 0 {
		b.tokens += b.rate * elapsed.Seconds()
		b.at = until
	}
	b.tokens = math.Min(b.tokens, math.Max(b.capacity-b.advanced(), 0))
}

// advanced returns the number of tokens that were borrowed in advance.
func (b *bucket) advanced() float64 {
	sum := 0.0
	for _, a := range b.advances {
		sum += a.tokens
	}
	return sum
}

// take takes up to n whole tokens.
func (b *bucket) take(n int) int {
	taken := min(n, int(math.Max(b.tokens, 0)))
	b.tokens -= float64(taken)
	return taken
}

// takeDelayed takes up to n tokens that the bucket will hold within maxDelay, and returns the
// time until it holds all of them.
func (b *bucket) takeDelayed(n int) (int, time.Duration) {
	taken := min(n, int(math.Max(b.tokens+b.rate*maxDelay.Seconds(), 0)))
	if taken <= 0 {
		return 0, 0
	}
	b.tokens -= float64(taken)
	return taken, time.Duration(math.Max(-b.tokens/b.rate, 0) * float64(time.Second))
}

// takeAdvance takes up to n tokens in advance.
func (b *bucket) takeAdvance(now time.Time, n int) int {
	free := advanceShare*b.capacity - b.advanced()
	taken := b.take(min(n, int(math.Max(math.Min(b.tokens, free)*hostShare, 0))))
	if taken > 0 {
		b.advances = append(b.advances, advance{tokens: float64(taken), expires: now.Add(advanceLife)})
	}
	return taken
}

// reserve returns the time after which a host that lacks n tokens asks again. Hosts so come back
// about as fast as there are tokens, and not all at once.
func (b *bucket) reserve(now time.Time, n int) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	if b.reservedUntil.Before(now) {
		b.reservedUntil = now
	}
	seconds := math.Min(float64(n)/b.rate/callsPerToken, maxRetryAfter.Seconds())
	b.reservedUntil = b.reservedUntil.Add(time.Duration(seconds * float64(time.Second)))
	if limit := now.Add(maxRetryAfter); b.reservedUntil.After(limit) {
		b.reservedUntil = limit
	}
	return max(b.reservedUntil.Sub(now), minRetryAfter)
}
