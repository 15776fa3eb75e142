package soak

import (
	"fmt"
	"slices"
	"time"
)

// configuration is a version of the teams in the store.
type configuration struct {
	// written is before, and acknowledged after the moment at which the store had it.
	written, acknowledged time.Time
	teams                 []team
}

// holds reports whether a team of the configuration has the key.
func (c configuration) holds(key string) bool {
	return slices.ContainsFunc(c.teams, func(t team) bool { return slices.Contains(t.keys, key) })
}

// keyedStatement is a statement of a caller with a key.
type keyedStatement struct {
	team, key string
	// sentAt is before the first byte was sent.
	sentAt time.Time
}

// addKeyed records a statement of a caller with a key.
func (r *recorder) addKeyed(id string, s keyedStatement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keyed == nil {
		r.keyed = make(map[string]keyedStatement)
	}
	r.keyed[id] = s
}

// deniedStatement is a statement, or the first message of a session, whose key was refused.
type deniedStatement struct {
	keyedStatement
	answeredAt time.Time
}

// addDenied records a refused key.
func (r *recorder) addDenied(s keyedStatement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.denied = append(r.denied, deniedStatement{s, time.Now()})
}

// operation is a run of an operation at an endpoint.
type operation struct{ sentAt, ranAt time.Time }

// checkTeams compares what endpoints ran with the keys and the limits of the teams.
func (r *runner) checkTeams() []string {
	if r.teams == nil {
		return nil
	}
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	var violations []string
	for _, t := range r.configurations[0].teams {
		for _, key := range t.keys {
			if r.group.users[key] {
				violations = append(violations, fmt.Sprintf("USER: an endpoint was told a key of %s", t.name))
			}
		}
	}
	operations := make(map[string][]operation)
	for _, x := range r.group.executions {
		s, ok := r.recorder.keyed[x.id]
		if !ok {
			continue
		}
		if x.user != s.team {
			violations = append(violations, fmt.Sprintf("USER: %s of %s ran at %s under the name %s", x.id, s.team, x.endpoint, x.user))
		}
		if after := r.unchangedFor(false, s, x.receivedAt); after > revokeBound {
			violations = append(violations, fmt.Sprintf("REVOKED: %s of %s was sent %s after its key had been withdrawn, and ran at %s", x.id, s.team, after, x.endpoint))
		}
		if x.first {
			operations[s.team] = append(operations[s.team], operation{s.sentAt, x.receivedAt})
		}
	}
	for _, d := range r.recorder.denied {
		if after := r.unchangedFor(true, d.keyedStatement, d.answeredAt); after > configBound {
			violations = append(violations, fmt.Sprintf("DENIED: the key of %s was refused %s after it had come into force", d.team, after))
		}
	}
	for index, t := range r.configurations[0].teams {
		if t.limit != (limit{}) {
			violations = append(violations, r.checkLimit(index, operations[t.name])...)
		}
	}
	return violations
}

// unchangedFor returns for how long the statement's key had been in force, or withdrawn, when the
// statement was sent; zero if it was not so until the given time.
func (r *runner) unchangedFor(inForce bool, s keyedStatement, until time.Time) time.Duration {
	var out time.Duration
	for _, c := range r.configurations {
		switch {
		case c.written.After(until):
			return out
		case c.holds(s.key) != inForce:
			out = 0
		case out == 0:
			out = max(s.sentAt.Sub(c.acknowledged), 0)
		}
	}
	return out
}

// checkLimit checks the operations of a team in every sliding window. An operation counts if it
// was both sent and run within the window: the host sent it to the endpoint in between.
func (r *runner) checkLimit(index int, operations []operation) []string {
	var violations []string
	binding := r.bindingTimes()
	slices.SortFunc(operations, func(a, b operation) int { return a.sentAt.Compare(b.sentAt) })
	var reported time.Time
	for i, first := range operations {
		begin, end := first.sentAt, first.sentAt.Add(quotaWindow)
		if begin.Before(reported) {
			continue
		}
		ran := 0
		for _, o := range operations[i:] {
			if o.sentAt.After(end) {
				break
			}
			if !o.ranAt.After(end) {
				ran++
			}
		}
		allowed := 0.0
		for n, c := range r.configurations {
			replaced := n+1 < len(binding) && !begin.Before(binding[n+1])
			if !replaced && !c.written.After(end) {
				allowed = max(allowed, c.teams[index].limit.allowed())
			}
		}
		if float64(ran) > allowed {
			reported = end
			violations = append(violations, fmt.Sprintf("QUOTA: %d operations of %s ran within %s from %s on, %.1f are allowed",
				ran, r.configurations[0].teams[index].name, quotaWindow, begin.Format(time.StampMilli), allowed))
		}
	}
	return violations
}

// bindingTimes returns for each configuration when all hosts must know it: they have then been
// undisturbed for configBound after its acknowledgement.
func (r *runner) bindingTimes() []time.Time {
	r.disturbancesMu.Lock()
	defer r.disturbancesMu.Unlock()
	slices.SortFunc(r.disturbances, func(a, b disturbance) int { return a.began.Compare(b.began) })
	out := make([]time.Time, len(r.configurations))
	for i, c := range r.configurations {
		calmFrom := c.acknowledged
		for _, d := range r.disturbances {
			if d.ended.After(calmFrom) && d.began.Before(calmFrom.Add(configBound)) {
				calmFrom = d.ended
			}
		}
		out[i] = calmFrom.Add(configBound)
	}
	return out
}
