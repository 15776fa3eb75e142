package manifest

import (
	"fmt"
	"regexp"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// validate checks one pool except its name.
func (p *Pool) validate(l *findings.List, at string, addresses uniqueValues) {
	l.CheckRequired(at+"/database", p.Database)
	l.CheckRequired(at+"/user", p.User)
	p.validateEndpoints(l, at+"/endpoints", addresses)
	p.validateClasses(l, at+"/classes")
	p.validateReads(l, at+"/reads")
	p.validateWrites(l, at+"/writes")
}

func (p *Pool) validateEndpoints(l *findings.List, at string, addresses uniqueValues) {
	names := newUniqueValues(l)
	staying := 0
	for i, e := range p.Endpoints {
		e.validate(l, findings.AppendIndex(at, i), names, addresses)
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

func (e *Endpoint) validate(l *findings.List, at string, names, addresses uniqueValues) {
	checkName(l, names, at+"/name", e.Name)
	checkAddress(l, addresses, at+"/address", e.Address)
	l.CheckRequired(at+"/availability_zone", e.AvailabilityZone)
	l.CheckRange(at+"/slots", e.Slots, 1, maxSlots)
	if e.Slots < 1 || e.Slots > maxSlots {
		l.CheckRange(at+"/connections", e.Connections, 1+controlConnections, maxConnections)
		return
	}
	if low := e.Slots + controlConnections; e.Connections < low || e.Connections > maxConnections {
		l.Add(at+"/connections", fmt.Sprintf("use a value from %d (slots + %d) to %d", low, controlConnections, maxConnections),
			"value %d is out of range", e.Connections)
	}
}

func (p *Pool) validateClasses(l *findings.List, at string) {
	names := newUniqueValues(l)
	matches := matchList{list: l}
	for i, c := range p.Classes {
		at := findings.AppendIndex(at, i)
		checkName(l, names, at+"/name", c.Name)
		matches.check(at, c.Match)
		l.CheckRange(at+"/deadline_ms", c.DeadlineMs, 1, maxDeadlineMs)
		l.CheckRange(at+"/priority", c.Priority, 0, maxPriority)
	}
}

func (p *Pool) validateReads(l *findings.List, at string) {
	names := newUniqueValues(l)
	matches := matchList{list: l}
	for i, r := range p.Reads {
		at := findings.AppendIndex(at, i)
		checkName(l, names, at+"/name", r.Name)
		matches.check(at, r.Match)
		l.CheckRange(at+"/max_staleness_ms", r.MaxStalenessMs, 0, maxStalenessMs)
	}
}

func (p *Pool) validateWrites(l *findings.List, at string) {
	names := newUniqueValues(l)
	matches := matchList{list: l}
	for i, w := range p.Writes {
		at := findings.AppendIndex(at, i)
		checkName(l, names, at+"/name", w.Name)
		matches.check(at, w.Match)
		if w.Confirm != ConfirmReplicated && w.Confirm != ConfirmPrimary {
			l.Add(at+"/confirm", `use "replicated" or "primary"`, "confirmation %q is unknown", w.Confirm)
		}
	}
}

// matchList checks the matches of one list. Only the first entry that matches a
// statement is used.
type matchList struct {
	list *findings.List
	// catchAll is the pointer of the first entry that selects every statement; ""
	// if there is none.
	catchAll string
}

// check checks that the pattern is valid and that the entry can be reached.
func (l *matchList) check(at string, m Match) {
	if _, err := regexp.Compile(m.Pattern); err != nil {
		l.list.Add(at+"/match/pattern", "correct the pattern (RE2 syntax)", "pattern is not valid: %s", err)
	}
	if l.catchAll != "" {
		l.list.Add(at+"/match", "move it before the entry that selects all", "it is never reached, %s selects all", l.catchAll)
	}
	if l.catchAll == "" && m == (Match{}) {
		l.catchAll = at
	}
}
