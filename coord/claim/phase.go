package claim

// Phase is the stage of a Machine.
type Phase uint8

// Phases of a Machine.
const (
	// PhaseWatching: another daemon owns the group, or nobody is known to.
	PhaseWatching Phase = iota
	// PhasePreVoting: the other candidates are asked about the owner.
	PhasePreVoting
	// PhaseSurveying: the endpoints are asked for their terms.
	PhaseSurveying
	// PhaseAdvancing: the endpoints are advanced to the claimed term.
	PhaseAdvancing
	// PhasePromoting: a majority is held and the primary is promoted.
	PhasePromoting
	// PhaseAwaitingMarker: a majority has yet to receive the marker.
	PhaseAwaitingMarker
	// PhaseOwning: the group is owned.
	PhaseOwning
	// PhaseHandingOver: serving has ended and the group is offered to candidates.
	PhaseHandingOver
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{
		"watching", "pre-voting", "surveying", "advancing",
		"promoting", "awaiting marker", "owning", "handing over",
	}[p]
}

// holdsTerm reports whether a majority has granted the current term.
func (p Phase) holdsTerm() bool { return p >= PhasePromoting && p <= PhaseOwning }
