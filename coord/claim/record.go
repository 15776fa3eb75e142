package claim

import "time"

// endpointRecord is what this daemon knows of one endpoint.
type endpointRecord struct {
	EndpointState
	// answerID is the ID of the call that returned Status. Answers to earlier calls that
	// arrive later are ignored.
	answerID uint64
	// repairID is the ID of the last call before the last repair. No further repair is
	// sent until the repair or a later call is answered.
	repairID uint64
	// aliveAt is when the last answer arrived.
	aliveAt time.Time
	// lastPollSentAt is when the last status poll was sent.
	lastPollSentAt time.Time
	// repairedAt is when the last repair (an advance or a follow) was sent.
	repairedAt time.Time
	// suspectedAt is when traffic reported an error; zero again when a call that started
	// later is answered.
	suspectedAt time.Time
	// pollFailed is true if a poll that started after suspectedAt failed.
	pollFailed bool
}

// awaitedCall is a call whose answer has not arrived yet.
type awaitedCall struct {
	id     uint64
	sentAt time.Time
}

// callKey limits the calls of one kind to an endpoint to one at a time.
type callKey struct {
	address string
	kind    CallKind
}
