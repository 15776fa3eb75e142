package claim

// Phase is the stage of a Machine.
type Phase uint8

// Phases of a Machine.
const (
	// PhaseWatching: another daemon owns the group, or no owner is known.
	PhaseWatching Phase = iota
	// PhasePreVoting: the other candidates are asked about the owner.
	PhasePreVoting
	// PhaseSurveying: the endpoints are asked for their terms.
	PhaseSurveying
	// PhaseAdvancing: the endpoints are asked to advance to the claimed term.
	PhaseAdvancing
	// PhasePromoting: a majority has granted the term and one endpoint is asked to
	// become the primary.
	PhasePromoting
	// PhaseAwaitingMarker: the primary is promoted, but no majority has received the
	// marker yet.
	PhaseAwaitingMarker
	// PhaseOwning: this daemon owns the group.
	PhaseOwning
	// PhaseHandingOver: this daemon has stopped serving and offers the group to the
	// other candidates.
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
