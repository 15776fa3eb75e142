package history

import "fmt"

// Rule names a guarantee.
type Rule string

// Rules that Check verifies.
const (
	RuleLost           Rule = "confirmed booking lost"
	RuleDuplicate      Rule = "booking made twice"
	RuleNotRunExecuted Rule = "booking reported as not run did run"
	// RuleTakenStored also finds a booking that was sent to the database twice: the
	// second insert is refused because of the first one's key.
	RuleTakenStored    Rule = "booking refused as taken is stored"
	RuleReadYourWrites Rule = "read below the session's own booking"
	RuleMonotonicReads Rule = "read below the session's earlier read"
	RuleLinearizable   Rule = "frame history is not linearizable"
)

// Violation is a broken guarantee. It is encoded in JSON under its Go field names.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the detail as text.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }
