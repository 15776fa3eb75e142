package claim

import "time"

// CallKind is the kind of a call to an endpoint.
type CallKind uint8

// Kinds of calls to an endpoint.
const (
	CallStatus CallKind = iota
	CallAdvance
	CallPromote
	CallFollow
)

// Call is one call to an endpoint.
type Call struct {
	// ID grows with each call of a Machine.
	ID      uint64
	Kind    CallKind
	Address string
	// Term is the term of an advance, promotion or follow.
	Term uint64
	// Primary is the address to follow.
	Primary string
}

// Answer is the result of a Call.
type Answer struct {
	Call
	// Started is when the call was sent, on the clock of Step's now.
	Started time.Time
	// Status is valid unless Failed or Stale is set.
	Status Status
	// Failed means that no answer arrived; the call may have taken effect.
	Failed bool
	// Stale means that the endpoint refused the call's term; EndpointTerm is its term.
	Stale        bool
	EndpointTerm uint64
}
