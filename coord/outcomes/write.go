package outcomes

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// WriteBounds holds the bounds of the log position at which a write was committed, if it
// was.
type WriteBounds struct {
	// Lower is the end of the primary's log before the write was sent.
	Lower logpos.Position
	// Upper is the end of the primary's log after the write ran; valid if UpperKnown is
	// true.
	Upper      logpos.Position
	UpperKnown bool
}

// Resolve returns the outcome of a write that was not confirmed when its primary was
// replaced. The promotion point is the end of the new primary's log before the marker of
// the new term. It must be that of the first promotion after the write's term: if it is of
// a later term than the write's bounds, the result is Unknown, since an earlier promotion
// may have truncated the write.
func Resolve(w WriteBounds, promotion logpos.Position) Outcome {
	switch {
	case promotion.IsZero():
		return Unknown
	case w.UpperKnown && w.Upper.Term == promotion.Term && promotion.Covers(w.Upper):
		return Done
	case w.Lower.Covers(promotion):
		return NotRun
	default:
		return Unknown
	}
}
