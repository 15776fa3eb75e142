package outcomes

// Outcome says what became of a request.
type Outcome int

// Outcomes.
const (
	// Running requests have begun and are not finished.
	Running Outcome = iota
	// Done requests ran, and their effects are kept.
	Done
	// NotRun requests have no effect and will have none.
	NotRun
	// Unknown requests may have run.
	Unknown
)

// String returns the form used in messages and in the DETAIL of errors.
func (o Outcome) String() string {
	switch o {
	case Running:
		return "running"
	case Done:
		return "done"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}
