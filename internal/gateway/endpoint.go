package gateway

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// Endpoint is an endpoint as its row in the endpoints table describes it.
type Endpoint struct {
	ID      string
	Group   string
	Address string
	// AvailabilityZone is the availability zone in which the endpoint runs.
	AvailabilityZone string
	// Draining endpoints get no new work.
	Draining bool
	// Primary is true if the endpoint reports itself as primary.
	Primary bool
	// StartedAtMs is the start time of the endpoint's process in Unix milliseconds. It
	// tells a restarted endpoint from its earlier process with the same ID.
	StartedAtMs int64
	// Slots is the number of statements that the endpoint runs concurrently.
	Slots int
}

// update applies a newer version of the row of the same process. The fields that identify the
// process stay untouched, since goroutines read them without the mutex of the group.
func (e *Endpoint) update(newer Endpoint) {
	e.AvailabilityZone, e.Draining, e.Primary, e.Slots = newer.AvailabilityZone, newer.Draining, newer.Primary, newer.Slots
}

// Status is an endpoint's answer to a status request.
type Status struct {
	Primary bool
	// Term is the term in which the endpoint is primary or replica.
	Term uint64
	// Received is the end of the log that the endpoint has received.
	Received logpos.Position
	// Connections is the number of open connections to the endpoint, from all hosts.
	Connections int
}
