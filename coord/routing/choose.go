package routing

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const (
	// PrimaryPenalty is added to the primary's distance, so that its slots remain
	// for writes while a replica is about as near. It is above the round trip
	// between two zones.
	PrimaryPenalty = 2 * time.Millisecond
	// MaxHold bounds the wait for a replica to catch up. The estimate assumes a
	// constant lag, which a longer wait makes less likely.
	MaxHold = 100 * time.Millisecond
	// minHold keeps a replica that is not eligible yet from being chosen without a
	// hold when the samples suggest that it has caught up.
	minHold = time.Millisecond
)

// Read is what a read must see.
type Read struct {
	// Floor is the smallest position that the session's read must see.
	Floor logpos.Position
	// MaxStaleness is how old a replica's data may be; 0 allows the primary only.
	MaxStaleness time.Duration
}

// Candidate is an endpoint that may serve a read.
type Candidate struct {
	Name      string
	Primary   bool
	Accepting bool
	// Applied is the position that queries on the endpoint see.
	Applied logpos.Position
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// Distance is the round trip to the endpoint.
	Distance time.Duration
}

// Choice is the endpoint chosen for a read.
type Choice struct {
	Endpoint string
	// Hold is how long the read is expected to wait for the endpoint to catch up.
	// It is 0 only if the endpoint is eligible now; otherwise Eligible must be
	// asked again after that time.
	Hold time.Duration
	// Expected is the expected time until the endpoint starts the read.
	Expected time.Duration
}

// Eligible reports whether the endpoint may serve the read now: the primary
// always may, a replica if it has applied the floor and is fresh enough.
func Eligible(now time.Time, r Read, c Candidate, s *Staleness) bool {
	if c.Primary {
		return c.Accepting
	}
	return c.Accepting && r.MaxStaleness > 0 && c.Applied.Covers(r.Floor) &&
		s.Age(now, c.Applied) <= r.MaxStaleness
}

// Choose returns the endpoint that is expected to start the read soonest. A
// replica that is fresh enough but below the floor counts with the time it needs
// to catch up. It returns false if no endpoint can serve the read.
func Choose(now time.Time, r Read, candidates []Candidate, s *Staleness) (Choice, bool) {
	var best Choice
	var least time.Duration
	found := false
	for _, c := range candidates {
		hold, ok := catchUp(now, r, c, s)
		if !ok {
			continue
		}
		expected := max(hold, c.Wait) + c.Distance
		cost := expected
		if c.Primary {
			cost += PrimaryPenalty
		}
		if !found || cost < least {
			best, least, found = Choice{Endpoint: c.Name, Hold: hold, Expected: expected}, cost, true
		}
	}
	return best, found
}

// catchUp estimates how long the endpoint needs until it may serve the read. A
// replica that lags by a constant time reaches the floor once the floor is as
// old as the replica's data.
func catchUp(now time.Time, r Read, c Candidate, s *Staleness) (time.Duration, bool) {
	if Eligible(now, r, c, s) {
		return 0, true
	}
	if c.Primary || !c.Accepting || r.MaxStaleness == 0 || c.Applied.Covers(r.Floor) {
		return 0, false
	}
	lag, age := s.Age(now, c.Applied), s.Age(now, r.Floor)
	if lag > r.MaxStaleness || age == UnknownAge {
		return 0, false
	}
	hold := max(lag-age, minHold)
	return hold, hold <= MaxHold
}
