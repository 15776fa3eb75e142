package concurrency

import (
	"math"
	"time"
)

// params holds the constants of a Limiter. Tests disable single mechanisms by them.
type params struct {
	// blockSize is the number of statements whose mean may lower a baseline;
	// idleBlockSize is that of the statements without congestion, whose mean may also
	// raise it. With a spread of 0.7 the means have a standard error of 0.18 and 0.25.
	blockSize, idleBlockSize int
	// followWeight is the weight of a block's mean in the baseline; jumpWeight that of a
	// mean that differs by more than jumpThreshold, which is about twice the standard
	// error.
	followWeight, jumpWeight, jumpThreshold float64
	// riseShare multiplies the weights of means above the baseline; 0 keeps an old best
	// time for ever.
	riseShare float64
	// firstCorrection is the part of the congestion that is taken off the first mean of a
	// kind.
	firstCorrection float64
	// signalSize is the number of statements after which the limit is adjusted.
	signalSize int
	// tolerance is the ratio of response times to their baselines up to which the limit
	// is kept. Below 1.5 the spread of the run times alone lowers the limit.
	tolerance float64
	// queuePerSlot is the number of statements for each slot that may wait at the
	// endpoint. One waiting statement for each second slot keeps the slots in use; what
	// waits beyond that is better ordered at the hosts.
	queuePerSlot float64
	// maxDecrease is the smallest factor of one adjustment.
	maxDecrease float64
	// probe is by how much the limit rises with each adjustment that finds no congestion.
	probe float64
	// startAtFloor makes the limit start at the floor instead of at initialPerSlot.
	startAtFloor bool
	// startGrowth is the part of the limit by which it rises instead during the start.
	startGrowth float64
	// perSlot is the highest limit for each slot.
	perSlot float64
}

func defaultParams() *params {
	return &params{
		blockSize: 16, idleBlockSize: 8, followWeight: 0.25, jumpWeight: 0.7, jumpThreshold: 0.4, riseShare: 1, firstCorrection: 1,
		signalSize: 16, tolerance: 1.5, queuePerSlot: 0.5, maxDecrease: 0.6, probe: 1, startAtFloor: true, startGrowth: 0.5, perSlot: MaxPerSlot,
	}
}

const (
	// initialPerSlot is the limit for each slot that the start aims at: a statement that
	// runs, and one that follows without a round trip.
	initialPerSlot = 2
	// startTime is how long the start may take. With too few statements to learn from,
	// the limit of initialPerSlot holds afterwards.
	startTime = time.Second
	// signalLifetime is how long a number of statements too small for an adjustment is
	// kept, and how long the last adjustment describes the endpoint.
	signalLifetime = 2 * time.Second
	// failureWeight is the weight of the newest statement in the share of failures.
	failureWeight = 0.05
)

// MaxPerSlot is the highest limit for each slot of an endpoint. It bounds the effect of a
// wrong baseline. With more hosts than that for each slot, nothing can be learned, since
// each host may always have one statement in flight.
const MaxPerSlot = 4

// Outcome is how a statement ended.
type Outcome uint8

// Outcomes.
const (
	// Answered: the statement ran, and its response time is known.
	Answered Outcome = iota
	// Rejected: the endpoint refused the statement without running it.
	Rejected
	// Lost: no answer came.
	Lost
)

// Sample is a statement that has ended.
type Sample struct {
	Kind    Kind
	Outcome Outcome
	// Took is the response time.
	Took time.Duration
	// InFlight is the number of this host's statements in flight to the endpoint when it
	// was sent, including itself.
	InFlight int
	// OthersInFlight is the number of other hosts' statements in flight to the endpoint,
	// as far as it is known.
	OthersInFlight int
}

// Share describes a host's part of an endpoint.
type Share struct {
	// Slots is the number of statements that the endpoint runs at once.
	Slots int
	// Hosts is the number of hosts that connect to the endpoint; Rank is this host's
	// place among them, from 0.
	Hosts, Rank int
}

// Limiter learns how many statements of all hosts together an endpoint should have in
// flight. It compares response times with the endpoint's own times without congestion and
// reduces the limit in proportion when they exceed the tolerance, as the gradient limits of
// Netflix's concurrency-limits; it also keeps the estimated queue at the endpoint short, as
// TCP Vegas. Statements weigh by the square root of their baseline: the wait behind a long
// statement multiplies the time of a short one, without the endpoint being any fuller. All
// hosts see the same congestion and rise by the same steps, so that their limits converge.
//
// A best time is only forgotten by statements that were sent with few others in flight. If
// an endpoint becomes slower for good, all hosts reduce the limit to its floor, where such
// statements follow. Forgetting it with time instead would let a lasting overload become
// the normal state.
//
// The limit starts at the floor and rises quickly, so that the first statements show the
// times without congestion even if the endpoint is overloaded from the start.
//
// It is not safe for concurrent use.
type Limiter struct {
	params    *params
	share     Share
	limit     float64
	baselines baselines
	// ratios and inFlight are the current signal: the sums of the logarithms of response
	// times relative to their baselines, and of the statements in flight.
	ratios   block
	inFlight float64
	startsAt time.Time
	// congestion is the mean of the last signal; congestionAt is its time.
	congestion   float64
	congestionAt time.Time
	adjusted     bool
	// adjustedAt is when the limit was last adjusted, by a signal or without.
	adjustedAt time.Time
	// starting is true during the start, which began at startedAt.
	starting  bool
	startedAt time.Time
	failures  float64
}

// NewLimiter returns a Limiter of an endpoint of which nothing is known.
func NewLimiter(share Share) *Limiter { return newLimiter(share, defaultParams()) }

func newLimiter(share Share, p *params) *Limiter {
	l := &Limiter{params: p, baselines: baselines{params: p, kinds: make(map[Kind]*baseline)}}
	l.SetShare(share)
	if !p.startAtFloor {
		l.limit = max(l.limit, l.initialLimit())
	}
	l.starting = l.limit < l.initialLimit()
	return l
}

// SetShare changes the host's part of the endpoint.
func (l *Limiter) SetShare(share Share) {
	share.Slots, share.Hosts = max(share.Slots, 1), max(share.Hosts, 1)
	share.Rank = min(max(share.Rank, 0), share.Hosts-1)
	l.share = share
	l.limit = max(min(l.limit, l.ceiling()), l.floor())
}

// Limit returns the number of statements that the endpoint should have in flight at most.
func (l *Limiter) Limit() float64 { return l.limit }

// Starting reports whether the limit is still rising from the floor for the first time.
func (l *Limiter) Starting() bool { return l.starting }

// Window returns the number of statements that this host may have in flight.
func (l *Limiter) Window() int {
	rounded := int(math.Round(l.limit))
	return max((rounded+l.share.Hosts-1-l.share.Rank)/l.share.Hosts, 1)
}

// FailureShare returns the recent share of statements that were rejected or lost. It does
// not change the limit: a faulty endpoint rejects at once or hangs with any number of
// statements in flight, and neither time says how many it takes well.
func (l *Limiter) FailureShare() float64 { return l.failures }

// floor is the smallest limit: one statement of each host.
func (l *Limiter) floor() float64 { return float64(l.share.Hosts) }

func (l *Limiter) ceiling() float64 {
	return max(l.params.perSlot*float64(l.share.Slots), l.floor())
}

func (l *Limiter) initialLimit() float64 { return float64(initialPerSlot * l.share.Slots) }

// Observe records a statement that has ended. It returns true if the limit has changed.
func (l *Limiter) Observe(now time.Time, s Sample) bool {
	failed := 0.0
	if s.Outcome != Answered {
		failed = 1
	}
	l.failures += failureWeight * (failed - l.failures)
	if s.Outcome != Answered {
		return false
	}
	changed := l.endStart(now)
	changed = l.riseUnsignalled(now) || changed
	ratio, baseline, ok := l.baselines.observe(now, s.Kind, s.Took, l.uncongested(s), l.expectedCongestion(now, s.InFlight))
	if !ok || l.Window() > 1 && l.windowUse(float64(s.InFlight)) <= 0.5 {
		// A limit that is not used is neither confirmed nor refuted.
		return changed
	}
	if l.ratios.count == 0 || now.Sub(l.startsAt) > signalLifetime {
		l.ratios, l.inFlight, l.startsAt = block{}, 0, now
	}
	l.inFlight += float64(s.InFlight)
	mean, complete := l.ratios.add(ratio, math.Sqrt(baseline), l.params.signalSize)
	if !complete {
		return changed
	}
	return l.adjust(now, mean) || changed
}

// endStart ends the start once its time is over. It returns true if the limit has changed.
func (l *Limiter) endStart(now time.Time) bool {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	if !l.starting || now.Sub(l.startedAt) < startTime {
		return false
	}
	l.starting = false
	if l.limit >= l.initialLimit() || l.adjusted {
		return false
	}
	l.limit = l.initialLimit()
	return true
}

// riseUnsignalled raises a limit that is below the initial one if there were too few
// statements for a signal: so few cannot overload the endpoint, and the limit would otherwise
// stay low. It returns true if the limit has changed.
func (l *Limiter) riseUnsignalled(now time.Time) bool {
	if l.starting || l.limit >= l.initialLimit() || now.Sub(l.adjustedAt) <= signalLifetime {
		return false
	}
	l.limit = min(l.limit+l.params.probe, l.initialLimit())
	l.adjustedAt = now
	return true
}

// uncongested reports whether the statement was sent with so few others in flight that its
// response time belongs to the baseline. Unless more is known of the other hosts, they are
// expected to have as many in flight as this one. A host whose whole window is in use may
// have a smaller one than the others, so that its statements say so only at the floor.
func (l *Limiter) uncongested(s Sample) bool {
	total := max(s.InFlight*l.share.Hosts, s.InFlight+s.OthersInFlight)
	return total <= max(l.share.Hosts, l.share.Slots/2) && (s.InFlight < l.Window() || l.limit < l.floor()+1)
}

// expectedCongestion returns the logarithm of the present ratio of response times to their
// baselines. If it is not known from other statements, it follows from the statements in
// flight beyond the slots.
func (l *Limiter) expectedCongestion(now time.Time, inFlight int) float64 {
	if !l.congestionAt.IsZero() && now.Sub(l.congestionAt) <= signalLifetime {
		return l.congestion
	}
	return math.Log(max(l.limit*l.windowUse(float64(inFlight))/float64(l.share.Slots), 1))
}

// windowUse returns the part of this host's window that the number of statements fills.
func (l *Limiter) windowUse(inFlight float64) float64 {
	return min(inFlight/float64(l.Window()), 1)
}

// adjust changes the limit by a complete signal, given the mean logarithm of response times
// relative to their baselines.
func (l *Limiter) adjust(now time.Time, mean float64) bool {
	before := l.limit
	used := l.limit * l.windowUse(l.inFlight/float64(l.params.signalSize))
	l.inFlight = 0
	l.congestion, l.congestionAt, l.adjusted, l.adjustedAt = mean, now, true, now
	ratio := math.Exp(mean)
	target := l.limit * min(l.params.tolerance/ratio, 1)
	// A part 1/ratio of the statements in flight would suffice without a queue.
	queue := used * (1 - 1/max(ratio, 1))
	if excess := queue - max(l.params.queuePerSlot*float64(l.share.Slots), 1); excess > 0 {
		target = min(target, l.limit-excess)
	}
	target = max(target, l.params.maxDecrease*l.limit)
	l.limit = max(min(target+l.rise(target < l.limit), l.ceiling()), l.floor())
	return l.limit != before
}

// rise returns by how much the limit rises with an adjustment.
func (l *Limiter) rise(congested bool) float64 {
	l.starting = l.starting && !congested && l.limit < l.initialLimit()
	if !l.starting {
		return l.params.probe
	}
	return max(l.params.probe, min(l.params.startGrowth*l.limit, l.initialLimit()-l.limit))
}
