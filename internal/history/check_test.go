package history_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
)

func at(ms int) time.Time { return time.UnixMilli(int64(1000 + ms)) }

func rulesOf(violations []history.Violation) []history.Rule {
	var out []history.Rule
	for _, v := range violations {
		out = append(out, v.Rule)
	}
	return out
}

// Guards against a checker that accepts bookings that are lost, stored twice, or stored
// although they were refused.
func TestStoredBookings(t *testing.T) {
	g := NewWithT(t)
	ops := []history.Op{
		{Kind: history.Book, ID: "lost", Result: history.OK},
		{Kind: history.Book, ID: "twice", Result: history.OK},
		{Kind: history.Book, ID: "ran", Result: history.NotRun},
		{Kind: history.Book, ID: "maybe", Result: history.Unknown},
		{Kind: history.Book, ID: "kept", Result: history.OK},
		{Kind: history.Book, ID: "refused", Result: history.Taken},
		{Kind: history.Book, ID: "sent twice", Result: history.Taken},
	}
	found := history.Check(ops, map[string]int{"twice": 2, "ran": 1, "kept": 1, "sent twice": 1})
	g.Expect(rulesOf(found)).To(ConsistOf(history.RuleLost, history.RuleDuplicate, history.RuleNotRunExecuted, history.RuleTakenStored))
}

// Guards against a checker that accepts reads older than what the session wrote or
// read before.
func TestSessionGuarantees(t *testing.T) {
	g := NewWithT(t)
	ops := []history.Op{
		{Kind: history.Book, Session: "a", ID: "a2", Seq: 2, Start: at(0), End: at(1)},
		{Kind: history.Lookup, Session: "a", Seq: 1, Start: at(2), End: at(3)},
		{Kind: history.Lookup, Session: "b", Seq: 5, Start: at(0), End: at(1)},
		{Kind: history.Lookup, Session: "b", Seq: 4, Start: at(2), End: at(3)},
		{Kind: history.Lookup, Session: "c", Seq: 0, Start: at(2), End: at(3)},
	}
	found := history.Check(ops, map[string]int{"a2": 1})
	g.Expect(rulesOf(found)).To(ConsistOf(history.RuleReadYourWrites, history.RuleMonotonicReads))
}

// Guards against a checker that accepts a frame read as free after it was booked.
func TestFrameLinearizability(t *testing.T) {
	g := NewWithT(t)
	book := history.Op{Kind: history.Book, ID: "x", Frame: "f", Start: at(0), End: at(10)}
	during := history.Op{Kind: history.ReadHolder, Frame: "f", Start: at(5), End: at(6)}
	after := history.Op{Kind: history.ReadHolder, Frame: "f", Start: at(11), End: at(12)}
	stored := map[string]int{"x": 1}
	g.Expect(history.Check([]history.Op{book, during}, stored)).To(BeEmpty())
	g.Expect(rulesOf(history.Check([]history.Op{book, after}, stored))).To(ConsistOf(history.RuleLinearizable))
}
