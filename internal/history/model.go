package history

import "github.com/anishathalye/porcupine"

// frameModel is the sequential model of one frame, which at most one booking can
// hold. Its state is the ID of that booking, empty if the frame is free.
var frameModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		holder := state.(string)
		op := input.(Op)
		if op.Kind == ReadHolder {
			return op.Holder == holder, holder
		}
		switch op.Result {
		case OK:
			return holder == "", op.ID
		case Taken:
			return holder != "", holder
		default:
			// Unknown: the booking takes effect if the frame is free, and has no effect
			// otherwise.
			if holder == "" {
				return true, op.ID
			}
			return true, holder
		}
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}
