package soak

import (
	"context"
	"math/rand/v2"
	"slices"
)

// randomEndpoint returns a random endpoint of the group.
func (r *runner) randomEndpoint(random *rand.Rand) *endpoint {
	list := r.group.list()
	return list[random.IntN(len(list))]
}

// join adds a replica without data at a new address.
func (r *runner) join(ctx context.Context) error {
	r.group.mu.Lock()
	e := &endpoint{}
	r.group.add(e)
	r.group.mu.Unlock()
	return r.startEndpoint(ctx, e)
}

// beginReplacement records that the endpoint is being replaced as planned. It returns false if it
// already is, or has left.
func (g *group) beginReplacement(e *endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.leaving || slices.Contains(g.former, e) {
		return false
	}
	e.leaving = true
	return true
}

// drain makes the endpoint announce that it will leave.
func (g *group) drain(e *endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.draining = true
}

// leave ends an endpoint for good. removesRow is true if it removes its row itself.
func (g *group) leave(e *endpoint, removesRow bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaveLocked(e, removesRow)
}

// leaveLocked is leave for calling functions that hold g.mu.
func (g *group) leaveLocked(e *endpoint, removesRow bool) {
	if slices.Contains(g.former, e) {
		return
	}
	e.down, e.removedRow = true, removesRow
	g.resumeLocked(e)
	g.endpoints = slices.DeleteFunc(g.endpoints, func(other *endpoint) bool { return other == e })
	g.former = append(g.former, e)
}

// takeOver lets a new endpoint with the log and at the address of a crashed one start. It is a
// replica if another endpoint was promoted meanwhile.
func (r *runner) takeOver(ctx context.Context, crashed *endpoint) error {
	r.group.mu.Lock()
	if slices.Contains(r.group.former, crashed) {
		r.group.mu.Unlock()
		return nil
	}
	next := &endpoint{
		proxy: crashed.proxy, term: crashed.term, log: slices.Clone(crashed.log),
		primary: r.group.currentPrimary() == crashed,
	}
	r.group.leaveLocked(crashed, false)
	r.group.add(next)
	r.group.mu.Unlock()
	return r.startEndpoint(ctx, next)
}

// recordLeftBehind records the commits of endpoints that have left and that the primary does not
// have as rolled back. g.mu must be held.
func (g *group) recordLeftBehind() {
	primary := g.currentPrimary()
	if primary == nil {
		return
	}
	for _, e := range g.former {
		g.recordRollback(e.log[sharedEntries(e.log, primary.log):])
	}
}
