package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
)

// limiterKind is a way to limit teams.
type limiterKind int

const (
	byLenders limiterKind = iota
	// equalShares gives each host a fixed equal share of the limit.
	equalShares
	// eachHost applies the limit on each host without regard to the others.
	eachHost
)

const (
	// simMaxWait and simRetries are the wait for a token and the retries of callers.
	simMaxWait = 250 * time.Millisecond
	simRetries = 2
)

// simTeam is one team.
type simTeam struct {
	name  string
	limit Limit
	// usual is the usual rate, load the multiple of it that is asked for now.
	usual float64
	load  func(at time.Duration) float64
	// asked and served are the times at which operations were asked for, and at which those that
	// were served had been asked for; sent are the times at which they were sent.
	asked, served, sent []time.Duration
	// lending are the times between two grants of a lender that cannot have lost its role meanwhile.
	lending  []lendingSpan
	lastLent map[*simHost]lendingSpan
	// limits are the limits with the times at which they were published.
	limits []publishedLimit
	// knownAt is when the last host learned of the newest limit.
	knownAt time.Duration
}

// publishedLimit is a limit that hosts may act on from one time to another.
type publishedLimit struct {
	Limit
	from, to time.Duration
}

// setLimit records a new limit.
func (t *simTeam) setLimit(at time.Duration, l Limit) {
	t.closeLimit()
	t.limit, t.knownAt = l, at
	t.limits = append(t.limits, publishedLimit{Limit: l, from: at, to: math.MaxInt64})
}

// closeLimit ends the former limits at the time when all hosts know the newest one.
func (t *simTeam) closeLimit() {
	for i := range t.limits[:max(len(t.limits)-1, 0)] {
		if t.limits[i].to == math.MaxInt64 {
			t.limits[i].to = t.knownAt
		}
	}
}

// simOperation is an operation of a team.
type simOperation struct {
	team    *simTeam
	host    *simHost
	askedAt time.Duration
	until   time.Time
	retries int
	// waits counts how often the operation has begun to wait.
	waits int
}

// sleeper is an operation in one of its waits.
type sleeper struct {
	operation *simOperation
	wait      int
}

// addTeams adds teams whose usual rates fall as rank^-1.2, with a limit of 1.6 times that.
func (s *simulation) addTeams(n int, rate float64) {
	sum := 0.0
	for rank := range n {
		sum += math.Pow(float64(rank+1), -1.2)
	}
	for rank := range n {
		usual := rate * math.Pow(float64(rank+1), -1.2) / sum
		t := &simTeam{name: fmt.Sprintf("team%d", rank), usual: usual, load: func(at time.Duration) float64 {
			return 1 + 0.2*math.Sin(2*math.Pi*at.Seconds()/7)
		}}
		t.lastLent = make(map[*simHost]lendingSpan)
		t.setLimit(0, Limit{Rate: 1.6 * usual, Burst: 1.6 * usual})
		s.limits[t.name] = t.limit
		s.teams = append(s.teams, t)
		s.teamOf[t.name] = t
		s.after(s.nextArrival(t), func() { s.arrive(t) })
	}
}

// nextArrival returns the time until the next operation of a team.
func (s *simulation) nextArrival(t *simTeam) time.Duration {
	rate := t.usual * t.load(s.elapsed)
	if rate <= 0 {
		return 100 * time.Millisecond
	}
	return time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
}

// arrive begins an operation.
func (s *simulation) arrive(t *simTeam) {
	s.after(s.nextArrival(t), func() { s.arrive(t) })
	if t.load(s.elapsed) <= 0 {
		return
	}
	t.asked = append(t.asked, s.elapsed)
	s.begin(&simOperation{team: t, askedAt: s.elapsed, host: s.arrivesAt()})
}

// begin sends an operation to its host. A caller does not reach a host that is down or frozen.
func (s *simulation) begin(op *simOperation) {
	h := op.host
	if !h.up || s.elapsed < h.frozenUntil {
		s.refuse(op)
		return
	}
	if s.limiter != byLenders {
		s.takeLocal(op)
		return
	}
	op.until = s.now().Add(s.between(75*time.Millisecond, simMaxWait))
	h.waiting[op.team.name]++
	s.take(op, false)
}

// takeLocal takes a token by a limiter without lenders.
func (s *simulation) takeLocal(op *simOperation) {
	t := rules.terms(op.team.limit)
	rate, capacity := t.rate/float64(len(s.hosts)), max(t.capacity/float64(len(s.hosts)), 1)
	if s.limiter == eachHost {
		rate, capacity = op.team.limit.Rate, max(op.team.limit.Burst, 1)
	}
	b := op.host.local[op.team.name]
	if b == nil {
		b = &bucket{at: s.now(), tokens: capacity, rate: rate, capacity: capacity}
		op.host.local[op.team.name] = b
	}
	b.refill(s.now(), rate, capacity)
	if b.take(1) == 1 {
		s.send(op, Token{})
		return
	}
	s.refuse(op)
}

// take does what takeToken of internal/gateway does.
func (s *simulation) take(op *simOperation, repeated bool) {
	h, team, now := op.host, op.team.name, s.now()
	op.waits++
	wait := op.waits
	decision, order := h.borrower.Take(now, team, h.waiting[team], repeated)
	switch decision {
	case Taken:
		h.waiting[team]--
		s.send(op, order.Token)
		return
	case Refused, Unavailable:
		if now.Add(order.After).After(op.until) {
			h.waiting[team]--
			s.refuse(op)
			return
		}
	case Ask:
		s.ask(h, order)
		order.After = HedgeDelay
	}
	h.sleeping[team] = append(h.sleeping[team], sleeper{op, wait})
	left := op.until.Sub(now)
	s.on(h, min(order.After, left), func() {
		switch {
		case op.waits != wait:
		case order.After < left:
			s.take(op, true)
		default:
			op.waits++ // An answer must not wake it any more.
			h.waiting[team]--
			s.refuse(op)
		}
	})
}

// ask asks a lender for tokens.
func (s *simulation) ask(h *simHost, order Order) {
	team, began, lender := order.Request.Team, s.now(), s.byAddress[order.Lender]
	s.call(h, lender, func() Grant {
		if s.now().After(lender.permittedUntil) {
			return Grant{}
		}
		g := lender.lender.Lend(s.now(), order.Request)
		if g.Lender {
			s.teamOf[team].recordLending(s.elapsed, lender, lender.lender.roles.divisor(s.now(), team, maxLenders))
		}
		return g
	}, func(g Grant, ok bool) {
		if ok {
			h.borrower.Answered(s.now(), began, team, order.Lender, g)
		} else {
			h.borrower.Failed(s.now(), team, order.Lender)
		}
		woken := h.sleeping[team]
		delete(h.sleeping, team)
		for _, w := range woken {
			if w.operation.waits == w.wait {
				s.take(w.operation, true)
			}
		}
	})
}

// lendingSpan is a time in which a host lent a share of a limit.
type lendingSpan struct {
	from, to    time.Duration
	share       float64
	incarnation int
}

// recordLending records a grant. A role that was lost takes RoleDelay to come back.
func (t *simTeam) recordLending(at time.Duration, h *simHost, divisor int) {
	span := lendingSpan{from: at, to: at, share: 1 / float64(divisor), incarnation: h.incarnation}
	if last, ok := t.lastLent[h]; ok && last.incarnation == h.incarnation && at-last.from < permission.Duration {
		last.to, last.share = at, min(last.share, span.share)
		t.lending = append(t.lending, last)
	}
	t.lastLent[h] = span
}

// mostLent returns the largest sum of the shares that hosts lent at one time.
func (t *simTeam) mostLent() float64 {
	type step struct {
		at    time.Duration
		share float64
	}
	var steps []step
	for _, l := range t.lending {
		steps = append(steps, step{l.from, l.share}, step{l.to, -l.share})
	}
	slices.SortFunc(steps, func(a, b step) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.share, b.share))
	})
	sum, most := 0.0, 0.0
	for _, s := range steps {
		sum += s.share
		most = max(most, sum)
	}
	return most
}

// send sends an operation. One in a hundred certainly does not run, and is refunded.
func (s *simulation) send(op *simOperation, token Token) {
	if s.limiter == byLenders && s.rng.IntN(100) == 0 {
		s.on(op.host, s.between(time.Millisecond, 100*time.Millisecond), func() { op.host.borrower.Refund(op.team.name, token) })
		s.refuse(op)
		return
	}
	op.team.sent = append(op.team.sent, s.elapsed)
	op.team.served = append(op.team.served, op.askedAt)
}

// refuse lets the caller try again at another host.
func (s *simulation) refuse(op *simOperation) {
	if op.retries >= simRetries {
		return
	}
	again := &simOperation{team: op.team, askedAt: op.askedAt, retries: op.retries + 1, host: s.arrivesAt()}
	s.after(s.between(100*time.Millisecond, 300*time.Millisecond), func() { s.begin(again) })
}

// excess is a window with more operations than allowed.
type excess struct {
	team    string
	from    time.Duration
	sent    int
	allowed float64
}

// worstWindow returns the window of the team with the largest excess, and the number of windows
// (one for each operation sent, from it on) with any.
func (t *simTeam) worstWindow() (excess, int) {
	t.closeLimit()
	worst, over := excess{team: t.name, allowed: math.Inf(1)}, 0
	for first, last := 0, 0; first < len(t.sent); first++ {
		from := t.sent[first]
		for last < len(t.sent) && t.sent[last] <= from+rules.Window {
			last++
		}
		allowed := 0.0
		for _, l := range t.limits {
			if l.from <= from+rules.Window && from < l.to {
				allowed = max(allowed, rules.Allowed(l.Limit))
			}
		}
		sent := last - first
		if float64(sent) > allowed {
			over++
		}
		if float64(sent)-allowed > float64(worst.sent)-worst.allowed {
			worst = excess{t.name, from, sent, allowed}
		}
	}
	return worst, over
}

// count returns how many of the times, which need not be sorted, are in an interval.
func count(times []time.Duration, from, to time.Duration) float64 {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n)
}

// shares is what part of the operations that may be served were served.
type shares struct {
	all, worstTenth, hot float64
	hotAsked             float64
}

// share measures an interval. A team may be served what it asks for, up to what is allowed. The
// hot team, if any, is the first one and is not among the others.
func (s *simulation) share(from, to time.Duration, hot bool) shares {
	type pair struct{ served, due float64 }
	var teams []pair
	var out shares
	for i, t := range s.teams {
		asked := count(t.asked, from, to)
		due := min(asked, rules.Allowed(t.limit)/rules.Window.Seconds()*(to-from).Seconds())
		p := pair{count(t.served, from, to), due}
		if hot && i == 0 {
			out.hot, out.hotAsked = p.served/p.due, asked/(rules.Allowed(t.limit)/rules.Window.Seconds()*(to-from).Seconds())
			continue
		}
		if due > 0 {
			teams = append(teams, p)
		}
	}
	slices.SortFunc(teams, func(a, b pair) int {
		switch x, y := a.served/a.due, b.served/b.due; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	sum := func(teams []pair) float64 {
		served, due := 0.0, 0.0
		for _, p := range teams {
			served, due = served+p.served, due+p.due
		}
		return served / due
	}
	out.all, out.worstTenth = sum(teams), sum(teams[:(len(teams)+9)/10])
	return out
}
