package outcomes

// Record is what the owner knows of one request.
type Record struct {
	Outcome Outcome
	// Answer is the whole answer; valid if HasAnswer. The table keeps the slice
	// that Finish was given, so the caller must not change it afterwards.
	Answer    []byte
	HasAnswer bool
	// Status is the transaction status of the answer's ReadyForQuery.
	Status byte
	// Reason is the suffix of the counter name of a refusal.
	Reason string
}
