package statement

import (
	"regexp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// Defaults for statements that no rule of the manifest matches.
const (
	DefaultDeadline = 5 * time.Second
	DefaultPriority = 5
	// DefaultName is the name of the class, kind of read or kind of write that applies
	// when none of the manifest's matches.
	DefaultName = "default"
)

// Rules are the compiled classes, kinds of reads and kinds of writes of one pool. They
// are immutable.
type Rules struct {
	classes []rule[manifest.Class]
	reads   []rule[manifest.ReadKind]
	writes  []rule[manifest.WriteKind]
}

// NewRules compiles the rules of a pool. It returns an error if a pattern is not a valid
// RE2 regular expression.
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

// Class returns the first class that matches. If none matches, it returns a class for
// short statements with DefaultPriority. A class without a deadline gets
// DefaultDeadline.
func (r *Rules) Class(info Info) manifest.Class {
	c, ok := match(r.classes, info)
	if !ok {
		c = manifest.Class{Name: DefaultName, Priority: DefaultPriority}
	}
	if c.DeadlineMs == 0 {
		c.DeadlineMs = int(DefaultDeadline.Milliseconds())
	}
	return c
}

// Read returns the first kind of read that matches. If none matches, it returns a kind
// that only the primary serves.
func (r *Rules) Read(info Info) manifest.ReadKind {
	k, ok := match(r.reads, info)
	if !ok {
		k = manifest.ReadKind{Name: DefaultName}
	}
	return k
}

// Write returns the first kind of write that matches. Unless the kind says otherwise, a
// write is confirmed once a majority has received it.
func (r *Rules) Write(info Info) manifest.WriteKind {
	k, ok := match(r.writes, info)
	if !ok {
		k = manifest.WriteKind{Name: DefaultName}
	}
	if k.Confirm == "" {
		k.Confirm = manifest.ConfirmReplicated
	}
	return k
}

// rule is a class or kind with its compiled match. It matches if both the tag and the
// pattern match; an empty tag or a nil pattern matches every statement.
type rule[K any] struct {
	kind    K
	tag     string
	pattern *regexp.Regexp
}

func (r rule[K]) matches(info Info) bool {
	if r.tag != "" && r.tag != info.Tag {
		return false
	}
	return r.pattern == nil || r.pattern.MatchString(info.Text)
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

func match[K any](rules []rule[K], info Info) (K, bool) {
	for _, r := range rules {
		if r.matches(info) {
			return r.kind, true
		}
	}
	var none K
	return none, false
}
