package claim

// Event is an input of Step.
type Event interface{ event() }

// Tick reports that time has passed. The caller must send one at least every 100 ms.
type Tick struct{}

// SetGroup sets the group's endpoints and candidates.
type SetGroup struct {
	Endpoints []Endpoint
	// Candidates are the peer addresses of the daemons that may own the group, in the
	// order of their ranks.
	Candidates []string
}

// HeartbeatReceived reports a heartbeat of the group's owner.
type HeartbeatReceived struct{ Owner Owner }

// PreVoteAnswered reports the answer of one peer in a pre-vote.
type PreVoteAnswered struct {
	// Round is the round of the RequestPreVotes.
	Round uint64
	Peer  string
	// Failed means that no answer arrived.
	Failed bool
	// OwnerAlive means that the peer receives the owner's heartbeats or is the owner.
	OwnerAlive bool
	// HighestTerm is the highest term that the peer knows.
	HighestTerm uint64
}

// TrafficError reports that a connection of traffic to an endpoint failed.
type TrafficError struct{ Address string }

// TermObserved reports that traffic found an endpoint at the term.
type TermObserved struct{ Term uint64 }

// Leave ends all claims, and starts the handover of the group if this daemon owns it.
type Leave struct{}

// Drained reports that the requests in flight have ended; see Drain.
type Drained struct{ Round uint64 }

// HandoverAnswered reports the answer to an OfferHandover.
type HandoverAnswered struct {
	To       string
	Accepted bool
}

// HandoverOffered reports that the owner of the term has stopped serving and offers
// the group to this daemon.
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
