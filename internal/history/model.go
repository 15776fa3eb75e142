package history

import "github.com/anishathalye/porcupine"

// frameModel is a frame that is held by at most one booking; the state is the
// holder's booking ID.
var frameModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		holder := state.(string)
		op := input.(Op)
		if op.Kind == Holder {
			return op.Holder == holder, holder
		}
		switch op.Result {
		case OK:
			return holder == "", op.ID
		case Taken:
			return holder != "", holder
		default:
			// Unknown: it takes effect if the frame is free, or never does.
			if holder == "" {
				return true, op.ID
			}
			return true, holder
		}
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}
