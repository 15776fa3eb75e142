package history

import "time"

// Summary counts the results of a history.
type Summary struct {
	OK, Taken, NotRun, Unknown int
	// Confirmed counts the confirmed bookings.
	Confirmed int
	// Reasons counts the operations that have a reason, by reason.
	Reasons map[string]int
}

// Summarize counts the results of ops.
func Summarize(ops []Op) Summary {
	s := Summary{Reasons: make(map[string]int)}
	for _, op := range ops {
		switch op.Result {
		case OK:
			s.OK++
		case Taken:
			s.Taken++
		case NotRun:
			s.NotRun++
		case Unknown:
			s.Unknown++
		}
		if op.Kind == Book && op.Result == OK {
			s.Confirmed++
		}
		if op.Reason != "" {
			s.Reasons[op.Reason]++
		}
	}
	return s
}

// LongestGap returns the longest time between two successive confirmed bookings, the
// later of which ended after from. Operations must be in the order of their end.
func LongestGap(ops []Op, from time.Time) time.Duration {
	var last time.Time
	var longest time.Duration
	for _, op := range ops {
		if op.Kind != Book || op.Result != OK {
			continue
		}
		if op.End.After(from) && !last.IsZero() {
			longest = max(longest, op.End.Sub(last))
		}
		if op.End.After(last) {
			last = op.End
		}
	}
	return longest
}
