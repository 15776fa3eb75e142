package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// judgeRuns is the number of runs after which an endpoint is judged.
	judgeRuns = 10
	// judgeAfter is the time after which an endpoint with fewer runs is judged.
	judgeAfter = 5 * time.Second
	// judgeInterval is the least time between two judgements.
	judgeInterval = time.Second
	// failingShare is the share of failed runs from which an endpoint is failing.
	failingShare = 0.2
	// slowFactor is how much slower than the median of the others an endpoint has
	// to be to count as slow. Replicas of one group differ by load, but rarely
	// threefold for long.
	slowFactor = 3
	// leastWeight is the smallest weight before an endpoint is ejected, and the
	// weight with which it returns.
	leastWeight = 1.0 / 8
	// firstCoolOff is how long an endpoint stays ejected at first; each ejection
	// that follows doubles it, up to maxCoolOff.
	firstCoolOff = 5 * time.Second
	maxCoolOff   = time.Minute
)

// Health gives each endpoint of a group a weight from 0 (ejected) to 1 by how its
// runs went. Weights are halved and doubled in steps, and at least half of the
// endpoints always keep the weight 1. It is not safe for concurrent use.
type Health struct {
	endpoints map[string]*health
}

// health is the state of one endpoint.
type health struct {
	name   string
	weight float64
	// credit collects the weight of offers, for Admit.
	credit float64
	// since is the start of the current window, with its runs and failures.
	since          time.Time
	runs, failures int
	// ratio sums the run time relative to the expected one, over timed runs.
	ratio float64
	timed int
	// returns is when an ejected endpoint returns, after coolOff.
	returns time.Time
	coolOff time.Duration
}

// NewHealth returns a Health without endpoints.
func NewHealth() *Health { return &Health{endpoints: make(map[string]*health)} }

// SetEndpoints replaces the endpoints. New ones start with the weight 1.
func (h *Health) SetEndpoints(now time.Time, names []string) {
	next := make(map[string]*health, len(names))
	for _, name := range names {
		next[name] = h.endpoints[name]
		if next[name] == nil {
			next[name] = &health{name: name, weight: 1, since: now, coolOff: firstCoolOff}
		}
	}
	h.endpoints = next
	h.restoreHalf()
}

// Observe records a run on an endpoint. expected is the usual run time of the
// statement, or 0 if it is not known.
func (h *Health) Observe(name string, ran, expected time.Duration, failed bool) {
	e := h.endpoints[name]
	if e == nil {
		return
	}
	e.runs++
	if failed {
		e.failures++
		return
	}
	if expected > 0 {
		e.ratio += float64(ran) / float64(expected)
		e.timed++
	}
}

// Weight returns the share of its usual work that the endpoint should get.
func (h *Health) Weight(name string) float64 {
	if e := h.endpoints[name]; e != nil {
		return e.weight
	}
	return 0
}

// Admit reports whether the endpoint should be considered for the next read. It
// is true for the share of calls that the weight gives.
func (h *Health) Admit(name string) bool {
	e := h.endpoints[name]
	if e == nil {
		return false
	}
	e.credit += e.weight
	if e.credit < 1 {
		return false
	}
	e.credit--
	return true
}

// Update judges the endpoints whose window is long enough, worst first, and moves
// their weights by one step.
func (h *Health) Update(now time.Time) {
	usual := h.slowness()
	var judged []*health
	for _, e := range h.endpoints {
		if e.due(now) {
			judged = append(judged, e)
		}
	}
	slices.SortFunc(judged, func(a, b *health) int {
		return cmp.Or(cmp.Compare(b.badness(usual), a.badness(usual)), cmp.Compare(a.name, b.name))
	})
	for _, e := range judged {
		h.judge(now, e, e.badness(usual) >= 1)
		e.since, e.runs, e.failures, e.ratio, e.timed = now, 0, 0, 0, 0
	}
}

// judge moves the weight of one endpoint by one step.
func (h *Health) judge(now time.Time, e *health, bad bool) {
	switch {
	case bad && (e.weight < 1 || h.reduced() < len(h.endpoints)/2):
		e.reduce(now)
	case bad:
		// Half of the endpoints are reduced already.
	case e.weight > 0:
		e.weight = min(2*e.weight, 1)
		if e.weight == 1 {
			e.coolOff = firstCoolOff
		}
	case !now.Before(e.returns):
		e.weight = leastWeight
	}
}

// reduce halves the weight, and ejects the endpoint below the least weight.
func (e *health) reduce(now time.Time) {
	e.weight /= 2
	if e.weight >= leastWeight {
		return
	}
	e.weight, e.credit = 0, 0
	e.returns = now.Add(e.coolOff)
	e.coolOff = min(2*e.coolOff, maxCoolOff)
}

// due reports whether the endpoint can be judged.
func (e *health) due(now time.Time) bool {
	open := now.Sub(e.since)
	if e.weight == 0 {
		return !now.Before(e.returns)
	}
	return open >= judgeInterval && (e.runs >= judgeRuns || open >= judgeAfter)
}

// badness is at least 1 for an endpoint that is failing or slow.
func (e *health) badness(slowness map[string]float64) float64 {
	bad := 0.0
	if e.runs > 0 {
		bad = float64(e.failures) / float64(e.runs) / failingShare
	}
	if usual := medianOfOthers(slowness, e.name); usual > 0 {
		bad = max(bad, slowness[e.name]/usual/slowFactor)
	}
	return bad
}

// slowness returns the mean ratio of run time to expected run time.
func (h *Health) slowness() map[string]float64 {
	all := make(map[string]float64)
	for name, e := range h.endpoints {
		if e.timed > 0 {
			all[name] = e.ratio / float64(e.timed)
		}
	}
	return all
}

func medianOfOthers(slowness map[string]float64, name string) float64 {
	var others []float64
	for other, s := range slowness {
		if other != name {
			others = append(others, s)
		}
	}
	if len(others) == 0 {
		return 0
	}
	slices.Sort(others)
	return others[len(others)/2]
}

// reduced counts the endpoints whose weight is below 1.
func (h *Health) reduced() int {
	n := 0
	for _, e := range h.endpoints {
		if e.weight < 1 {
			n++
		}
	}
	return n
}

// restoreHalf gives the endpoints with the largest weights the weight 1 until at
// most half are reduced, after endpoints were removed.
func (h *Health) restoreHalf() {
	for h.reduced() > len(h.endpoints)/2 {
		var best *health
		for _, e := range h.endpoints {
			if e.weight < 1 && (best == nil || e.weight > best.weight || e.weight == best.weight && e.name < best.name) {
				best = e
			}
		}
		best.weight = 1
	}
}
