package outcomes

// Record is what an owner knows about one request.
type Record struct {
	Outcome Outcome
	// Answer is the whole answer; valid if HasAnswer is true. The table keeps the slice that
	// is passed to Finish, which must not be changed afterwards.
	Answer    []byte
	HasAnswer bool
	// Status is the transaction status in the ReadyForQuery message of the answer.
	Status byte
	// Reason says why the request was refused. It is the suffix of a counter name.
	Reason string
}
