package claim

// Action is an output of Step. The caller runs the actions of a Step only after it has
// made the State of the same Step visible to traffic.
type Action interface{ action() }

// RequestPreVotes asks each peer whether the owner is alive. The caller reports each
// answer or failure as a PreVoteAnswered.
type RequestPreVotes struct {
	Round uint64
	Peers []string
	Term  uint64
}

// Drain asks traffic to finish the requests in flight, while State.InTransition holds
// new ones back. The caller reports the end as a Drained with the same round.
type Drain struct{ Round uint64 }

// OfferHandover offers the group to a candidate. The caller reports the answer as a
// HandoverAnswered.
type OfferHandover struct {
	To   string
	Term uint64
}

// Note reports a change for counters and logs.
type Note struct {
	Kind NoteKind
	Term uint64
	// Reason says why, in a few words.
	Reason string
}

// NoteKind is the kind of a Note.
type NoteKind uint8

// Kinds of notes.
const (
	// NoteClaimStarted: this daemon started to advance the endpoints to a new term.
	NoteClaimStarted NoteKind = iota
	// NoteOwned: this daemon became the owner of the group.
	NoteOwned
	// NoteClaimLost: a claim of this daemon ended without ownership.
	NoteClaimLost
	// NoteSteppedDown: this daemon's ownership ended because of a higher term.
	NoteSteppedDown
	// NoteStalled: the caller had stalled, so that missed heartbeats and answers no
	// longer count.
	NoteStalled
	// NoteHandedOver: a candidate accepted the group.
	NoteHandedOver
)

func (Call) action()            {}
func (RequestPreVotes) action() {}
func (Drain) action()           {}
func (OfferHandover) action()   {}
func (Note) action()            {}
