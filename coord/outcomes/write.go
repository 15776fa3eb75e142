package outcomes

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// WriteBounds holds the bounds of the log position of one write.
type WriteBounds struct {
	// Lower is the end of the primary's log before the write was sent.
	Lower logpos.Position
	// Upper is the end of the primary's log after the write ran; valid if
	// UpperKnown.
	Upper      logpos.Position
	UpperKnown bool
}

// Resolve returns the outcome of a write that was unfinished when its primary
// was replaced. The promotion point is the end of the new primary's log before
// the marker of the new term. It must be that of the first promotion after the
// write's term. A promotion point of a later term than the write's bounds
// resolves to Unknown, since an earlier promotion may have cut the write off.
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
