package routing

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const (
	// PrimaryPenalty is added to the cost of a read on the primary, so that its slots
	// remain for writes while a replica is about as near. It is longer than the
	// round trip between two availability zones.
	PrimaryPenalty = 2 * time.Millisecond
	// MaxCatchUpWait bounds the wait for a replica to catch up. The estimate of that
	// wait assumes a constant lag, which is less likely over a longer time.
	MaxCatchUpWait = 100 * time.Millisecond
	// minCatchUpWait is the shortest wait for a replica that is not eligible yet. Without
	// it, the wait would be 0, as for an eligible replica, if the samples suggest that the
	// replica has caught up.
	minCatchUpWait = time.Millisecond
)

// Read describes what a read must see.
type Read struct {
	// Floor is the smallest position that the read must see.
	Floor logpos.Position
	// MaxStaleness is how old a replica's data may be; 0 allows only the primary.
	MaxStaleness time.Duration
}

// Candidate is an endpoint that may serve a read.
type Candidate struct {
	Name      string
	Primary   bool
	Accepting bool
	// Applied is the position up to which queries on the endpoint see the log.
	Applied logpos.Position
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// Distance is the round-trip time to the endpoint.
	Distance time.Duration
}

// Choice is the endpoint chosen for a read.
type Choice struct {
	Endpoint string
	// CatchUpWait is how long the read is expected to wait for the endpoint to catch up.
	// It is 0 only if the endpoint is eligible now; otherwise the read must call
	// Eligible again after that time.
	CatchUpWait time.Duration
	// Expected is the expected time until the endpoint starts the read.
	Expected time.Duration
}

// Eligible reports whether the endpoint may serve the read now. It must accept work; a
// replica must also have applied the log up to the floor and be fresh enough.
func Eligible(now time.Time, r Read, c Candidate, s *Staleness) bool {
	if c.Primary {
		return c.Accepting
	}
	return c.Accepting && r.MaxStaleness > 0 && c.Applied.Covers(r.Floor) &&
		s.Age(now, c.Applied) <= r.MaxStaleness
}

// Choose returns the endpoint that is expected to start the read soonest, with a
// penalty on the primary. For a replica that is fresh enough but below the floor, the
// expected time includes the time to catch up. Choose returns false if no endpoint can
// serve the read.
func Choose(now time.Time, r Read, candidates []Candidate, s *Staleness) (Choice, bool) {
	var best Choice
	var lowestCost time.Duration
	found := false
	for _, c := range candidates {
		wait, ok := catchUpWait(now, r, c, s)
		if !ok {
			continue
		}
		expected := max(wait, c.Wait) + c.Distance
		cost := expected
		if c.Primary {
			cost += PrimaryPenalty
		}
		if !found || cost < lowestCost {
			best, lowestCost, found = Choice{Endpoint: c.Name, CatchUpWait: wait, Expected: expected}, cost, true
		}
	}
	return best, found
}

// catchUpWait estimates how long it takes until the endpoint may serve the read. A
// replica with a constant lag reaches the floor when the floor is as old as the lag. It
// returns false if that is not expected within MaxCatchUpWait.
func catchUpWait(now time.Time, r Read, c Candidate, s *Staleness) (time.Duration, bool) {
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
	wait := max(lag-age, minCatchUpWait)
	return wait, wait <= MaxCatchUpWait
}
