package claim

// Event is an input of Step.
type Event interface{ event() }

// Tick tells that time has passed. It is due at least every 100 ms.
type Tick struct{}

// SetGroup sets the group's endpoints and candidates.
type SetGroup struct {
	Endpoints []Endpoint
	// Candidates are peer addresses, best first.
	Candidates []string
}

// HeartbeatReceived tells that a heartbeat of the group's owner arrived.
type HeartbeatReceived struct{ Owner Owner }

// PreVoteAnswered is the answer of one peer in a pre-vote.
type PreVoteAnswered struct {
	// Round is the round of the RequestPreVotes.
	Round uint64
	Peer  string
	// Failed means that no answer arrived.
	Failed bool
	// OwnerAlive means that the peer hears from the owner or is the owner.
	OwnerAlive bool
	// HighestTerm is the highest term that the peer knows.
	HighestTerm uint64
}

// TrafficError tells that a traffic connection to an endpoint failed.
type TrafficError struct{ Address string }

// TermObserved tells that traffic saw the term on an endpoint.
type TermObserved struct{ Term uint64 }

// Leave starts the handover of the group, if owned, and ends all claims.
type Leave struct{}

// Drained tells that the requests in flight have ended (see Drain).
type Drained struct{ Round uint64 }

// HandoverAnswered is the answer to an OfferHandover.
type HandoverAnswered struct {
	To       string
	Accepted bool
}

// HandoverOffered tells that the owner of the term has stopped serving and
// offers the group.
type HandoverOffered struct{ Term uint64 }

func (Tick) event()              {}
func (SetGroup) event()          {}
func (HeartbeatReceived) event() {}
func (PreVoteAnswered) event()   {}
func (Answer) event()            {}
func (TrafficError) event()      {}
func (TermObserved) event()      {}
func (Leave) event()             {}
func (Drained) event()           {}
func (HandoverAnswered) event()  {}
func (HandoverOffered) event()   {}
