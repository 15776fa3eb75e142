package history

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the linearizability check of one frame.
const linearizabilityTimeout = 20 * time.Second

// Check returns all violations of the guarantees by the operations. stored is the
// number of rows of each booking ID, read from the primary after the last operation.
func Check(ops []Op, stored map[string]int) []Violation {
	var violations []Violation
	violations = append(violations, checkBookings(ops, stored)...)
	violations = append(violations, checkSessions(ops)...)
	violations = append(violations, checkFrames(ops)...)
	return violations
}

// checkBookings compares the results of bookings with the stored rows.
func checkBookings(ops []Op, stored map[string]int) []Violation {
	var violations []Violation
	for _, op := range ops {
		if op.Kind != Book {
			continue
		}
		n := stored[op.ID]
		switch {
		case n > 1:
			violations = append(violations, Violation{RuleDuplicate, fmt.Sprintf("%s stored %d times", op.ID, n)})
		case op.Result == OK && n == 0:
			violations = append(violations, Violation{RuleLost, op.ID})
		case op.Result == NotRun && n > 0:
			violations = append(violations, Violation{RuleNotRunExecuted, op.ID})
		case op.Result == Taken && n > 0:
			violations = append(violations, Violation{RuleTakenStored, op.ID})
		}
	}
	return violations
}

// checkSessions checks that each session reads its own writes and that its reads are
// monotonic. A session runs one operation at a time, so the order of the starts is the
// order of its operations.
func checkSessions(ops []Op) []Violation {
	sorted := append([]Op(nil), ops...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Start.Before(sorted[j].Start) })
	maxBooked := make(map[string]int)
	maxRead := make(map[string]int)
	var violations []Violation
	for _, op := range sorted {
		if op.Result != OK {
			continue
		}
		switch op.Kind {
		case Book:
			maxBooked[op.Session] = max(maxBooked[op.Session], op.Seq)
		case Lookup:
			if op.Seq < maxBooked[op.Session] {
				violations = append(violations, Violation{RuleReadYourWrites,
					fmt.Sprintf("session %s read %d after booking %d", op.Session, op.Seq, maxBooked[op.Session])})
			}
			if op.Seq < maxRead[op.Session] {
				violations = append(violations, Violation{RuleMonotonicReads,
					fmt.Sprintf("session %s read %d after reading %d", op.Session, op.Seq, maxRead[op.Session])})
			}
			maxRead[op.Session] = max(maxRead[op.Session], op.Seq)
		}
	}
	return violations
}

// checkFrames checks that the operations on each frame are linearizable.
func checkFrames(ops []Op) []Violation {
	var lastEnd time.Time
	byFrame := make(map[string][]Op)
	for _, op := range ops {
		if op.End.After(lastEnd) {
			lastEnd = op.End
		}
		if op.Frame != "" && op.Result != NotRun {
			byFrame[op.Frame] = append(byFrame[op.Frame], op)
		}
	}
	var violations []Violation
	for frame, list := range byFrame {
		result := porcupine.CheckOperationsTimeout(frameModel, porcupineOperations(list, lastEnd), linearizabilityTimeout)
		if result != porcupine.Ok {
			violations = append(violations, Violation{RuleLinearizable, fmt.Sprintf("frame %s, %d operations: %s", frame, len(list), result)})
		}
	}
	return violations
}

// porcupineOperations converts the operations on one frame. A booking with an unknown
// outcome may take effect at any time after its start, so its end is set to an hour
// after lastEnd, the end of the history. Reads without a result are left out.
func porcupineOperations(list []Op, lastEnd time.Time) []porcupine.Operation {
	var out []porcupine.Operation
	for i, op := range list {
		end := op.End
		if op.Result == Unknown {
			if op.Kind != Book {
				continue
			}
			end = lastEnd.Add(time.Hour)
		}
		out = append(out, porcupine.Operation{
			ClientId: i,
			Input:    op,
			Output:   op,
			Call:     op.Start.UnixNano(),
			Return:   end.UnixNano(),
		})
	}
	return out
}
