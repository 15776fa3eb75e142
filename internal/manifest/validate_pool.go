package manifest

import (
	"fmt"
	"regexp"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// validate checks one pool except its name.
func (p *Pool) validate(l *findings.List, at string, addresses unique) {
	l.Required(at+"/database", p.Database)
	l.Required(at+"/user", p.User)
	p.validateEndpoints(l, at+"/endpoints", addresses)
	p.validateClasses(l, at+"/classes")
	p.validateReads(l, at+"/reads")
	p.validateWrites(l, at+"/writes")
}

func (p *Pool) validateEndpoints(l *findings.List, at string, addresses unique) {
	names := newUnique(l)
	staying := 0
	for i, e := range p.Endpoints {
		e.validate(l, findings.Index(at, i), names, addresses)
		if !e.Leaving {
			staying++
		}
	}
	switch {
	case len(p.Endpoints) == 0:
		l.Add(at, "list at least one endpoint", "pool has no endpoint")
	case staying == 0:
		l.Add(at, "keep one endpoint or remove the pool", "every endpoint is leaving")
	}
}

func (e *Endpoint) validate(l *findings.List, at string, names, addresses unique) {
	checkName(l, names, at+"/name", e.Name)
	checkAddress(l, addresses, at+"/address", e.Address)
	l.Required(at+"/availability_zone", e.AvailabilityZone)
	l.Range(at+"/slots", e.Slots, 1, maxSlots)
	if e.Slots < 1 || e.Slots > maxSlots {
		l.Range(at+"/connections", e.Connections, 1+controlConnections, maxConnections)
		return
	}
	if low := e.Slots + controlConnections; e.Connections < low || e.Connections > maxConnections {
		l.Add(at+"/connections", fmt.Sprintf("use a value from %d (slots + %d) to %d", low, controlConnections, maxConnections),
			"value %d is out of range", e.Connections)
	}
}

func (p *Pool) validateClasses(l *findings.List, at string) {
	names := newUnique(l)
	order := matchOrder{list: l}
	for i, c := range p.Classes {
		at := findings.Index(at, i)
		checkName(l, names, at+"/name", c.Name)
		order.check(at, c.Match)
		l.Range(at+"/deadline_ms", c.DeadlineMs, 1, maxDeadlineMs)
		l.Range(at+"/priority", c.Priority, 0, maxPriority)
	}
}

func (p *Pool) validateReads(l *findings.List, at string) {
	names := newUnique(l)
	order := matchOrder{list: l}
	for i, r := range p.Reads {
		at := findings.Index(at, i)
		checkName(l, names, at+"/name", r.Name)
		order.check(at, r.Match)
		l.Range(at+"/max_staleness_ms", r.MaxStalenessMs, 0, maxStalenessMs)
	}
}

func (p *Pool) validateWrites(l *findings.List, at string) {
	names := newUnique(l)
	order := matchOrder{list: l}
	for i, w := range p.Writes {
		at := findings.Index(at, i)
		checkName(l, names, at+"/name", w.Name)
		order.check(at, w.Match)
		if w.Confirm != ConfirmReplicated && w.Confirm != ConfirmPrimary {
			l.Add(at+"/confirm", `use "replicated" or "primary"`, "confirmation %q is unknown", w.Confirm)
		}
	}
}

// matchOrder checks the matches of one list, of which the first that matches
// decides.
type matchOrder struct {
	list *findings.List
	// all is the pointer of the entry that selects every statement.
	all string
}

// check checks the pattern, and that the entry can be reached.
func (o *matchOrder) check(at string, m Match) {
	if _, err := regexp.Compile(m.Pattern); err != nil {
		o.list.Add(at+"/match/pattern", "correct the pattern (RE2 syntax)", "pattern is not valid: %s", err)
	}
	if o.all != "" {
		o.list.Add(at+"/match", "move it before the entry that selects all", "it is never reached, %s selects all", o.all)
	}
	if o.all == "" && m == (Match{}) {
		o.all = at
	}
}
