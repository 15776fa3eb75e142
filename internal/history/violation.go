package history

import "fmt"

// Rule names a guarantee.
type Rule string

// Rules that Check verifies.
const (
	RuleLost      Rule = "confirmed booking lost"
	RuleDuplicate Rule = "booking made twice"
	RuleNotRunRan Rule = "booking reported as not run did run"
	// RuleRefusedStored also finds a booking that was sent to the database twice:
	// the second one meets the first one's key.
	RuleRefusedStored  Rule = "booking refused as taken is stored"
	RuleReadYourWrites Rule = "read below the session's own booking"
	RuleMonotonicReads Rule = "read below the session's earlier read"
	RuleLinearizable   Rule = "frame history is not linearizable"
)

// Violation is a broken guarantee.
type Violation struct {
	Rule   Rule
	Detail string
}

// String formats the violation for people.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }
