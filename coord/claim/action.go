package claim

// Action is an output of Step. Actions take effect only after the State that
// belongs to the same Step is visible to traffic.
type Action interface{ action() }

// RequestPreVotes asks each peer whether the owner is alive; each answer or failure
// is a PreVoteAnswered.
type RequestPreVotes struct {
	Round uint64
	Peers []string
	Term  uint64
}

// Drain asks traffic to finish the requests in flight, while State.InTransition
// holds new ones back; a Drained with the same round is due at the end.
type Drain struct{ Round uint64 }

// OfferHandover offers the group to a candidate; a HandoverAnswered is due.
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
	// NoteClaimStarted: AdvanceTerm is sent for a new term.
	NoteClaimStarted NoteKind = iota
	// NoteOwned: the group is owned.
	NoteOwned
	// NoteClaimLost: a claim ended without ownership.
	NoteClaimLost
	// NoteSteppedDown: ownership ended because of a higher term.
	NoteSteppedDown
	// NoteStalled: evidence was discarded.
	NoteStalled
	// NoteHandedOver: a candidate accepted the group.
	NoteHandedOver
)

func (Call) action()            {}
func (RequestPreVotes) action() {}
func (Drain) action()           {}
func (OfferHandover) action()   {}
func (Note) action()            {}
