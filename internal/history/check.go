package history

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the search for one frame's history.
const linearizabilityTimeout = 20 * time.Second

// Check returns every violation. stored counts the rows of each booking ID in
// the final table of the last primary.
func Check(ops []Op, stored map[string]int) []Violation {
	var found []Violation
	found = append(found, checkStored(ops, stored)...)
	found = append(found, checkSessions(ops)...)
	found = append(found, checkFrames(ops)...)
	return found
}

func checkStored(ops []Op, stored map[string]int) []Violation {
	var found []Violation
	for _, op := range ops {
		if op.Kind != Book {
			continue
		}
		n := stored[op.ID]
		switch {
		case n > 1:
			found = append(found, Violation{RuleDuplicate, fmt.Sprintf("%s stored %d times", op.ID, n)})
		case op.Result == OK && n == 0:
			found = append(found, Violation{RuleLost, op.ID})
		case op.Result == NotRun && n > 0:
			found = append(found, Violation{RuleNotRunRan, op.ID})
		case op.Result == Taken && n > 0:
			found = append(found, Violation{RuleRefusedStored, op.ID})
		}
	}
	return found
}

// checkSessions checks each session's operations in the order of their start; a
// session has one operation at a time.
func checkSessions(ops []Op) []Violation {
	sorted := append([]Op(nil), ops...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Start.Before(sorted[j].Start) })
	booked := make(map[string]int)
	read := make(map[string]int)
	var found []Violation
	for _, op := range sorted {
		if op.Result != OK {
			continue
		}
		switch op.Kind {
		case Book:
			booked[op.Session] = max(booked[op.Session], op.Seq)
		case Lookup:
			if op.Seq < booked[op.Session] {
				found = append(found, Violation{RuleReadYourWrites,
					fmt.Sprintf("session %s read %d after booking %d", op.Session, op.Seq, booked[op.Session])})
			}
			if op.Seq < read[op.Session] {
				found = append(found, Violation{RuleMonotonicReads,
					fmt.Sprintf("session %s read %d after reading %d", op.Session, op.Seq, read[op.Session])})
			}
			read[op.Session] = max(read[op.Session], op.Seq)
		}
	}
	return found
}

func checkFrames(ops []Op) []Violation {
	var last time.Time
	byFrame := make(map[string][]Op)
	for _, op := range ops {
		if op.End.After(last) {
			last = op.End
		}
		if op.Frame != "" && op.Result != NotRun {
			byFrame[op.Frame] = append(byFrame[op.Frame], op)
		}
	}
	var found []Violation
	for frame, list := range byFrame {
		result := porcupine.CheckOperationsTimeout(frameModel, operations(list, last), linearizabilityTimeout)
		if result != porcupine.Ok {
			found = append(found, Violation{RuleLinearizable, fmt.Sprintf("frame %s, %d operations: %s", frame, len(list), result)})
		}
	}
	return found
}

// operations converts one frame's history. An operation with an unknown outcome
// may take effect at any time after its start.
func operations(list []Op, last time.Time) []porcupine.Operation {
	var out []porcupine.Operation
	for i, op := range list {
		end := op.End
		if op.Result == Unknown {
			if op.Kind != Book {
				continue
			}
			end = last.Add(time.Hour)
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
