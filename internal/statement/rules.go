package statement

import (
	"regexp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// Defaults for statements that no kind of the manifest matches.
const (
	DefaultDeadline = 5 * time.Second
	DefaultPriority = 5
	// DefaultName is the name of the kinds that apply when none matches.
	DefaultName = "default"
)

// Rules are the compiled kinds of one pool. They are immutable.
type Rules struct {
	classes []rule[manifest.Class]
	reads   []rule[manifest.ReadKind]
	writes  []rule[manifest.WriteKind]
}

// NewRules compiles the kinds of a pool. It fails if a pattern is not a regular
// expression (RE2).
func NewRules(p manifest.Pool) (*Rules, error) {
	r := &Rules{}
	var classes, reads, writes error
	r.classes, classes = compile(p.Classes, func(c manifest.Class) manifest.Match { return c.Match })
	r.reads, reads = compile(p.Reads, func(k manifest.ReadKind) manifest.Match { return k.Match })
	r.writes, writes = compile(p.Writes, func(k manifest.WriteKind) manifest.Match { return k.Match })
	if err := errors.Join(classes, reads, writes); err != nil {
		return nil, errors.Wrapf(err, "pool %q", p.Name)
	}
	return r, nil
}

// Class returns the first class that matches. The default is a short class with
// DefaultDeadline and DefaultPriority. A class without a deadline gets the
// default one.
func (r *Rules) Class(i Info) manifest.Class {
	c, ok := match(r.classes, i)
	if !ok {
		c = manifest.Class{Name: DefaultName, Priority: DefaultPriority}
	}
	if c.DeadlineMs == 0 {
		c.DeadlineMs = int(DefaultDeadline.Milliseconds())
	}
	return c
}

// Read returns the first kind of read that matches. By default only the primary
// serves a read.
func (r *Rules) Read(i Info) manifest.ReadKind {
	k, ok := match(r.reads, i)
	if !ok {
		k = manifest.ReadKind{Name: DefaultName}
	}
	return k
}

// Write returns the first kind of write that matches. By default a write is
// confirmed once a majority has received it.
func (r *Rules) Write(i Info) manifest.WriteKind {
	k, ok := match(r.writes, i)
	if !ok {
		k = manifest.WriteKind{Name: DefaultName}
	}
	if k.Confirm == "" {
		k.Confirm = manifest.ConfirmReplicated
	}
	return k
}

// rule is a kind with its compiled match.
type rule[K any] struct {
	kind    K
	tag     string
	pattern *regexp.Regexp
}

func (r rule[K]) matches(i Info) bool {
	if r.tag != "" && r.tag != i.Tag {
		return false
	}
	return r.pattern == nil || r.pattern.MatchString(i.Text)
}

func compile[K any](kinds []K, matchOf func(K) manifest.Match) ([]rule[K], error) {
	var rules []rule[K]
	var problems error
	for _, k := range kinds {
		m := matchOf(k)
		r := rule[K]{kind: k, tag: m.Tag}
		if m.Pattern != "" {
			pattern, err := regexp.Compile(m.Pattern)
			problems = errors.Join(problems, errors.Wrapf(err, "pattern %q", m.Pattern))
			r.pattern = pattern
		}
		rules = append(rules, r)
	}
	return rules, problems
}

func match[K any](rules []rule[K], i Info) (K, bool) {
	for _, r := range rules {
		if r.matches(i) {
			return r.kind, true
		}
	}
	var none K
	return none, false
}
