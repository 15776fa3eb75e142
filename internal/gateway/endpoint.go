package gateway

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// Endpoint is what the directory says about one endpoint.
type Endpoint struct {
	ID      string
	Group   string
	Address string
	// AvailabilityZone is where the endpoint runs.
	AvailabilityZone string
	// Draining endpoints get no new work.
	Draining bool
	// Primary is how the endpoint sees itself.
	Primary bool
	// Born identifies the run of the endpoint's process; an endpoint may start
	// again under its ID. It is the start in Unix milliseconds.
	Born int64
	// Slots is how many statements the endpoint runs at once.
	Slots int
}

// Status is an endpoint's answer to a status request.
type Status struct {
	Primary bool
	// Term is the term in which the endpoint leads or follows.
	Term uint64
	// Received is the end of the log that the endpoint has received.
	Received logpos.Position
	// Connections counts the open connections of all hosts.
	Connections int
}
