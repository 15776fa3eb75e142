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
	// ID increases with each call of a Machine.
	ID      uint64
	Kind    CallKind
	Address string
	// Term is the term of an advance, promotion or follow.
	Term uint64
	// Primary is the address that the endpoint is to follow.
	Primary string
}

// Answer is the result of a Call.
type Answer struct {
	Call
	// Started is when the call was sent, on the clock of Step's now.
	Started time.Time
	// Status is valid unless Failed or Stale is set.
	Status Status
	// Failed means that no answer arrived. The call may have taken effect.
	Failed bool
	// Stale means that the endpoint refused the term of the call, because it is at
	// EndpointTerm.
	Stale        bool
	EndpointTerm uint64
}
