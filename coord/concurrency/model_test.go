package concurrency

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// model is a queueing model of one endpoint and the hosts that send statements to it, in
// virtual time. Statements arrive at random at each host, wait there for the host's window,
// and then in the endpoint's queue in order of arrival.
type model struct {
	slots, hosts int
	// delay is the one-way latency between a host and the endpoint.
	delay time.Duration
	// slowdown returns the factor of run times at a time, with the given number of
	// statements running.
	slowdown func(at time.Duration, running int) float64
	// statement draws the kind and the mean run time of the statement that arrives at a
	// time.
	statement func(r *rand.Rand, at time.Duration) (Kind, time.Duration)
	// rate returns the number of statements per second of all hosts together.
	rate   func(at time.Duration) float64
	length time.Duration
	params *params
	// fixedWindow replaces the limiters' windows if it is not 0.
	fixedWindow int
	// fault draws how a statement fails; nil if none does. A statement that fails
	// takes the returned time and no slot.
	fault func(r *rand.Rand, at time.Duration) (Outcome, time.Duration)
	// observe changes a sample before the limiter gets it.
	observe func(Sample) Sample
	// firstHostShare is the share of the statements that arrive at the first host; 0
	// spreads them evenly.
	firstHostShare float64
	// isolated hosts do not know how many statements the others have in flight.
	isolated bool
	seed     uint64
}

// modelResult is what a run showed, in steps of resultStep.
type modelResult struct {
	// windows is the sum of the hosts' windows and queued the length of the endpoint's
	// queue, as means over each step.
	windows, queued []float64
	// answered counts the statements that ran.
	answered []int
	// took is the mean response time of the endpoint in seconds.
	took     []float64
	limiters []*Limiter
}

const resultStep = 100 * time.Millisecond

// lostAfter is how long a host waits for an answer. It is a few run times, as after that a
// statement does not count against the window.
const lostAfter = 150 * time.Millisecond

type modelStatement struct {
	host    int
	kind    Kind
	mean    time.Duration
	arrived time.Duration
	sent    time.Duration
	// inFlight is the number of the host's statements in flight when it was sent.
	inFlight int
	// others is what the host knew of the other hosts' statements in flight.
	others  int
	outcome Outcome
}

type modelEvent struct {
	at    time.Duration
	order int
	do    func(at time.Duration)
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelRun is the state of a run.
type modelRun struct {
	model
	rand     *rand.Rand
	events   modelEvents
	order    int
	waiting  [][]*modelStatement
	inFlight []int
	// shared holds the numbers of statements in flight that the hosts last told each
	// other.
	shared  []int
	queue   []*modelStatement
	running int
	result  modelResult
}

// run runs the model. The result depends only on its fields.
func (m model) run() modelResult {
	if m.params == nil {
		m.params = defaultParams()
	}
	if m.slowdown == nil {
		m.slowdown = func(time.Duration, int) float64 { return 1 }
	}
	n := int(m.length / resultStep)
	r := &modelRun{model: m, rand: rand.New(rand.NewPCG(m.seed, 1)), waiting: make([][]*modelStatement, m.hosts), inFlight: make([]int, m.hosts)}
	r.result = modelResult{windows: make([]float64, n), queued: make([]float64, n), answered: make([]int, n), took: make([]float64, n)}
	for host := range m.hosts {
		r.result.limiters = append(r.result.limiters, newLimiter(Share{Slots: m.slots, Hosts: m.hosts, Rank: host}, m.params))
	}
	r.shared = make([]int, m.hosts)
	r.after(0, 0, r.arrive)
	r.after(0, gossipDelay, r.gossip)
	for step := range n {
		r.after(0, time.Duration(step)*resultStep, func(time.Duration) { r.record(step) })
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(modelEvent)
		if e.at >= m.length {
			break
		}
		e.do(e.at)
	}
	for step := range n {
		r.result.took[step] /= max(float64(r.result.answered[step]), 1)
	}
	return r.result
}

func (r *modelRun) after(at, delay time.Duration, do func(time.Duration)) {
	r.order++
	heap.Push(&r.events, modelEvent{at: at + delay, order: r.order, do: do})
}

// gossipDelay is the time between two rounds of gossip and the age of what they tell.
const gossipDelay = 300 * time.Millisecond

func (r *modelRun) gossip(at time.Duration) {
	told := slices.Clone(r.inFlight)
	r.after(at, gossipDelay, func(at time.Duration) {
		r.shared = told
		r.gossip(at)
	})
}

// others returns what the host knows of the other hosts' statements in flight.
func (r *modelRun) others(host int) int {
	sum := 0
	for other, n := range r.shared {
		if other != host && !r.isolated {
			sum += n
		}
	}
	return sum
}

func (r *modelRun) record(step int) {
	r.result.queued[step] = float64(len(r.queue))
	for host := range r.hosts {
		r.result.windows[step] += float64(r.window(host))
	}
}

func (r *modelRun) window(host int) int {
	if r.fixedWindow > 0 {
		return r.fixedWindow
	}
	return r.result.limiters[host].Window()
}

func (r *modelRun) arrive(at time.Duration) {
	kind, mean := r.statement(r.rand, at)
	host := r.rand.IntN(r.hosts)
	if r.rand.Float64() < r.firstHostShare {
		host = 0
	}
	r.waiting[host] = append(r.waiting[host], &modelStatement{host: host, kind: kind, mean: mean, arrived: at})
	r.send(at, host)
	r.after(at, time.Duration(r.rand.ExpFloat64()/r.rate(at)*float64(time.Second)), r.arrive)
}

// maxHostWait is how long a statement waits at a host before it is refused.
const maxHostWait = 300 * time.Millisecond

func (r *modelRun) send(at time.Duration, host int) {
	for len(r.waiting[host]) > 0 && r.inFlight[host] < r.window(host) {
		s := r.waiting[host][0]
		r.waiting[host] = r.waiting[host][1:]
		if at-s.arrived > maxHostWait {
			continue
		}
		r.inFlight[host]++
		s.sent, s.inFlight, s.others = at, r.inFlight[host], r.others(host)
		if r.fault != nil {
			if outcome, took := r.fault(r.rand, at); outcome != Answered {
				s.outcome = outcome
				r.after(at, took, func(at time.Duration) { r.answer(at, s) })
				continue
			}
		}
		r.after(at, r.delay, func(at time.Duration) {
			r.queue = append(r.queue, s)
			r.start(at)
		})
	}
}

// spread is the standard deviation of the logarithm of run times. One run in 100 takes 5
// times as long.
const spread = 0.7

func (r *modelRun) start(at time.Duration) {
	for len(r.queue) > 0 && r.running < r.slots {
		s := r.queue[0]
		r.queue = r.queue[1:]
		r.running++
		factor := math.Exp(spread*r.rand.NormFloat64() - spread*spread/2)
		if r.rand.IntN(100) == 0 {
			factor *= 5
		}
		took := time.Duration(float64(s.mean) * factor * r.slowdown(at, r.running))
		r.after(at, took, func(at time.Duration) {
			r.running--
			r.start(at)
			r.after(at, r.delay, func(at time.Duration) { r.answer(at, s) })
		})
	}
}

func (r *modelRun) answer(at time.Duration, s *modelStatement) {
	r.inFlight[s.host]--
	sample := Sample{Kind: s.kind, Outcome: s.outcome, Took: at - s.sent, InFlight: s.inFlight, OthersInFlight: s.others}
	if s.outcome == Answered {
		step := int(at / resultStep)
		r.result.answered[step]++
		r.result.took[step] += (at - s.sent).Seconds()
	}
	if r.observe != nil {
		sample = r.observe(sample)
	}
	r.result.limiters[s.host].Observe(time.Unix(1_000_000, 0).Add(at), sample)
	r.send(at, s.host)
}

// between returns the values of the steps from one time to another.
func between[T any](values []T, from, to time.Duration) []T {
	return values[from/resultStep : to/resultStep]
}

func mean[T int | float64](values []T) float64 {
	sum := 0.0
	for _, v := range values {
		sum += float64(v)
	}
	return sum / float64(len(values))
}

// always returns statements of one kind with the given mean run time.
func always(run time.Duration) func(*rand.Rand, time.Duration) (Kind, time.Duration) {
	return func(*rand.Rand, time.Duration) (Kind, time.Duration) { return Kind{Database: "a"}, run }
}

// during returns 1 outside a period, and the factor inside.
func during(from, to time.Duration, factor float64) func(time.Duration, int) float64 {
	return func(at time.Duration, _ int) float64 {
		if at >= from && at < to {
			return factor
		}
		return 1
	}
}
