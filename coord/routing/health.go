package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRuns is the number of runs after which an endpoint's window is complete.
	minRuns = 10
	// maxWindow is the time after which a window with fewer runs is complete.
	maxWindow = 5 * time.Second
	// minWindow is the shortest time of a window.
	minWindow = time.Second
	// maxFailureShare is the share of failed runs at which an endpoint counts as failing.
	maxFailureShare = 0.2
	// slowFactor is how many times slower than the median of the others an endpoint must
	// be to count as slow. Replicas of one group differ because their load does, but
	// rarely by a factor of 3 for long.
	slowFactor = 3
	// minWeight is the smallest weight of an endpoint that is not ejected, and the weight
	// with which an ejected one returns.
	minWeight = 1.0 / 8
	// initialEjectionTime is how long the first ejection of an endpoint lasts. Each further
	// one lasts twice as long, up to maxEjectionTime, until the endpoint is back at weight 1.
	initialEjectionTime = 5 * time.Second
	maxEjectionTime     = time.Minute
)

// Health gives each endpoint of a group a weight from 0 (ejected) to 1 that follows from
// how many of its runs failed and how slow they were. A weight changes by a factor of 2
// at a time, and at least half of the endpoints always have the weight 1. It is not safe
// for concurrent use.
type Health struct {
	endpoints map[string]*endpointHealth
}

// endpointHealth is the state of one endpoint.
type endpointHealth struct {
	name   string
	weight float64
	// credit is the sum of the weight over the calls of Admit, less 1 for each call that
	// admitted the endpoint.
	credit float64
	// windowStart is the start of the current window; runs and failures count its runs.
	windowStart    time.Time
	runs, failures int
	// ratioSum is the sum of run time divided by expected run time, over timedRuns runs
	// whose expected run time is known.
	ratioSum  float64
	timedRuns int
	// returnsAt is when an ejected endpoint returns. ejectionTime is how long its next
	// ejection lasts.
	returnsAt    time.Time
	ejectionTime time.Duration
}

// NewHealth returns a Health without endpoints.
func NewHealth() *Health { return &Health{endpoints: make(map[string]*endpointHealth)} }

// SetEndpoints replaces the endpoints. New endpoints start with the weight 1.
func (h *Health) SetEndpoints(now time.Time, names []string) {
	next := make(map[string]*endpointHealth, len(names))
	for _, name := range names {
		next[name] = h.endpoints[name]
		if next[name] == nil {
			next[name] = &endpointHealth{name: name, weight: 1, windowStart: now, ejectionTime: initialEjectionTime}
		}
	}
	h.endpoints = next
	h.restoreHalf()
}

// Observe records a run on an endpoint. expected is the expected run time of the
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
		e.ratioSum += float64(ran) / float64(expected)
		e.timedRuns++
	}
}

// Weight returns the share of its usual work that the endpoint should get; 0 for an
// endpoint that is ejected or unknown.
func (h *Health) Weight(name string) float64 {
	if e := h.endpoints[name]; e != nil {
		return e.weight
	}
	return 0
}

// Admit reports whether the endpoint should be considered for the next read. The share
// of calls for which it returns true is the endpoint's weight.
func (h *Health) Admit(name string) bool {
	e := h.endpoints[name]
	if e == nil {
		return false
	}
	admitted := e.admitted()
	e.credit += e.weight
	if admitted {
		e.credit--
	}
	return admitted
}

// WouldAdmit returns what Admit would return now. It changes nothing.
func (h *Health) WouldAdmit(name string) bool {
	e := h.endpoints[name]
	return e != nil && e.admitted()
}

// admitted reports whether the endpoint has credit for the next read.
func (e *endpointHealth) admitted() bool { return e.credit+e.weight >= 1 }

// Update adjusts the weights of the endpoints whose window is complete, the one with the
// highest severity first, and starts new windows for them.
func (h *Health) Update(now time.Time) {
	ratios := h.meanRatios()
	var due []*endpointHealth
	for _, e := range h.endpoints {
		if e.windowComplete(now) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *endpointHealth) int {
		return cmp.Or(cmp.Compare(b.severity(ratios), a.severity(ratios)), cmp.Compare(a.name, b.name))
	})
	for _, e := range due {
		h.adjustWeight(now, e, e.severity(ratios) >= 1)
		e.windowStart, e.runs, e.failures, e.ratioSum, e.timedRuns = now, 0, 0, 0, 0
	}
}

// adjustWeight halves the weight of an endpoint that is failing or slow, and otherwise
// doubles it or ends its ejection.
func (h *Health) adjustWeight(now time.Time, e *endpointHealth, failing bool) {
	switch {
	case failing && (e.weight < 1 || h.countReduced() < len(h.endpoints)/2):
		e.reduce(now)
	case failing:
		// Half of the endpoints have a reduced weight already.
	case e.weight > 0:
		e.weight = min(2*e.weight, 1)
		if e.weight == 1 {
			e.ejectionTime = initialEjectionTime
		}
	case !now.Before(e.returnsAt):
		e.weight = minWeight
	}
}

// reduce halves the weight, and ejects the endpoint if that is below minWeight.
func (e *endpointHealth) reduce(now time.Time) {
	e.weight /= 2
	if e.weight >= minWeight {
		return
	}
	e.weight, e.credit = 0, 0
	e.returnsAt = now.Add(e.ejectionTime)
	e.ejectionTime = min(2*e.ejectionTime, maxEjectionTime)
}

// windowComplete reports whether the endpoint's weight can be adjusted: its window is
// long enough and has enough runs, or its ejection is over.
func (e *endpointHealth) windowComplete(now time.Time) bool {
	length := now.Sub(e.windowStart)
	if e.weight == 0 {
		return !now.Before(e.returnsAt)
	}
	return length >= minWindow && (e.runs >= minRuns || length >= maxWindow)
}

// severity returns how far the endpoint is above the limits for failures and slowness;
// it is at least 1 for an endpoint that is failing or slow.
func (e *endpointHealth) severity(ratios map[string]float64) float64 {
	severity := 0.0
	if e.runs > 0 {
		severity = float64(e.failures) / float64(e.runs) / maxFailureShare
	}
	if median := medianOfOthers(ratios, e.name); median > 0 {
		severity = max(severity, ratios[e.name]/median/slowFactor)
	}
	return severity
}

// meanRatios returns, for each endpoint with timed runs, the mean ratio of run time to
// expected run time.
func (h *Health) meanRatios() map[string]float64 {
	all := make(map[string]float64)
	for name, e := range h.endpoints {
		if e.timedRuns > 0 {
			all[name] = e.ratioSum / float64(e.timedRuns)
		}
	}
	return all
}

func medianOfOthers(ratios map[string]float64, name string) float64 {
	var others []float64
	for other, s := range ratios {
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

// countReduced returns the number of endpoints whose weight is below 1.
func (h *Health) countReduced() int {
	n := 0
	for _, e := range h.endpoints {
		if e.weight < 1 {
			n++
		}
	}
	return n
}

// restoreHalf sets the largest reduced weights to 1 until at most half of the endpoints
// have a reduced weight. It is needed after endpoints were removed.
func (h *Health) restoreHalf() {
	for h.countReduced() > len(h.endpoints)/2 {
		var best *endpointHealth
		for _, e := range h.endpoints {
			if e.weight < 1 && (best == nil || e.weight > best.weight || e.weight == best.weight && e.name < best.name) {
				best = e
			}
		}
		best.weight = 1
	}
}
