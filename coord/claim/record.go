package claim

import "time"

// record is what is known of one endpoint.
type record struct {
	EndpointState
	// answerID is the ID of the call that returned Status. Later calls may be
	// answered earlier.
	answerID uint64
	// repairID is the ID of the last advance or follow sent while serving.
	repairID uint64
	// aliveAt is when the last answer arrived.
	aliveAt time.Time
	// polledAt is when the last status poll was sent.
	polledAt time.Time
	// repairedAt is when the last advance or follow was sent.
	repairedAt time.Time
	// suspectedAt is when traffic reported an error; zero if none is open.
	suspectedAt time.Time
	// failed is set if the last poll failed after suspectedAt.
	failed bool
}

// waiting is a call whose answer is awaited.
type waiting struct {
	id   uint64
	sent time.Time
}

// waitKey limits the calls of one kind to an endpoint to one at a time.
type waitKey struct {
	address string
	kind    CallKind
}
