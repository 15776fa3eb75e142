package access

import (
	"errors"
	"fmt"
)

// Limits of the entries of a directory. They exclude values that could not be served.
const (
	// MaxTeams limits the teams of one directory.
	MaxTeams = 100_000
	// MaxRate and MaxBurst limit the rate and the burst of a team, in operations a second and
	// operations.
	MaxRate  = 1e9
	MaxBurst = 1e9
)

// Team is a group of callers with a common limit.
type Team struct {
	// Name is the name under which endpoints know the team.
	Name string
	// Rate is the number of operations a second that the team may send, Burst the number that
	// it may send beyond that at once. They count only if Limited is true.
	Rate, Burst float64
	Limited     bool
	// Share is the team's part of the sum of all rates, from 0 to 1.
	Share float64
}

// Entry is a team as the operator configures it.
type Entry struct {
	Name string
	// Keys is empty, but not nil, for a team whose keys have all been withdrawn.
	Keys        []string
	Rate, Burst float64
	// Limited is false for a team that may send any number of operations.
	Limited bool
}

// Directory finds teams by key and by name. It is immutable. A nil Directory has no teams.
type Directory struct {
	teams map[string]Team
	byKey map[string]string
}

// EntryError is a fault of one entry.
type EntryError struct {
	// Index is the position of the entry; -1 if the fault is not one of a single entry.
	Index int
	// Field is the name of the field of Entry that is at fault.
	Field   string
	Problem string
}

// Error implements error. It never contains a key.
func (e *EntryError) Error() string {
	return fmt.Sprintf("team %d, %s: %s", e.Index, e.Field, e.Problem)
}

// NewDirectory returns the directory of the entries, or the faults of all entries, each an
// EntryError.
func NewDirectory(entries []Entry) (*Directory, error) {
	if len(entries) > MaxTeams {
		return nil, &EntryError{Index: -1, Field: "Name", Problem: fmt.Sprintf("there are %d teams, more than %d", len(entries), MaxTeams)}
	}
	d := &Directory{teams: make(map[string]Team, len(entries)), byKey: make(map[string]string, len(entries))}
	var faults []error
	total := 0.0
	for i, e := range entries {
		faults = append(faults, d.add(i, e)...)
		total += e.Rate
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	for name, team := range d.teams {
		if total > 0 {
			team.Share = team.Rate / total
		}
		d.teams[name] = team
	}
	return d, nil
}

// add adds an entry and returns its faults.
func (d *Directory) add(index int, e Entry) []error {
	var faults []error
	fault := func(field, problem string) {
		faults = append(faults, &EntryError{Index: index, Field: field, Problem: problem})
	}
	if e.Name == "" {
		fault("Name", "is empty")
	}
	if _, repeated := d.teams[e.Name]; repeated {
		fault("Name", "is that of another team")
	}
	if e.Keys == nil {
		fault("Keys", "is missing")
	}
	for _, key := range e.Keys {
		owner, taken := d.byKey[key]
		switch {
		case key == "":
			fault("Keys", "has an empty key")
		case taken && owner != e.Name:
			fault("Keys", "has a key of another team")
		default:
			d.byKey[key] = e.Name
		}
	}
	// The comparisons are also false for a value that is not a number.
	if !(e.Rate >= 0 && e.Rate <= MaxRate) {
		fault("Rate", "is out of range")
	}
	if !(e.Burst >= 0 && e.Burst <= MaxBurst) {
		fault("Burst", "is out of range")
	}
	d.teams[e.Name] = Team{Name: e.Name, Rate: e.Rate, Burst: e.Burst, Limited: e.Limited}
	return faults
}

// TeamOfKey returns the team that holds the key.
func (d *Directory) TeamOfKey(key string) (Team, bool) {
	if d == nil {
		return Team{}, false
	}
	name, ok := d.byKey[key]
	return d.teams[name], ok
}

// Team returns the team of the name.
func (d *Directory) Team(name string) (Team, bool) {
	if d == nil {
		return Team{}, false
	}
	team, ok := d.teams[name]
	return team, ok
}

// HasKey reports whether the team holds a key.
func (d *Directory) HasKey(team string) bool {
	if d == nil {
		return false
	}
	for _, owner := range d.byKey {
		if owner == team {
			return true
		}
	}
	return false
}

// Teams returns all teams in no particular order.
func (d *Directory) Teams() []Team {
	if d == nil {
		return nil
	}
	out := make([]Team, 0, len(d.teams))
	for _, team := range d.teams {
		out = append(out, team)
	}
	return out
}
