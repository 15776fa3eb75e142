package outcomes

// Outcome says whether a request ran.
type Outcome int

// Outcomes.
const (
	// Running means that the request has begun and is not finished.
	Running Outcome = iota
	// Done means that the request ran and its effects are permanent.
	Done
	// NotRun means that the request has had no effect and will never have one.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the form that is used in messages and in the DETAIL of errors.
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
