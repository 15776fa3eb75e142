package manifest

// Confirmation determines when a write is confirmed to the caller.
type Confirmation string

// Confirmation modes.
const (
	// ConfirmReplicated waits until a majority of the endpoints has received the
	// commit.
	ConfirmReplicated Confirmation = "replicated"
	// ConfirmPrimary waits until, after the commit, a majority of the endpoints
	// was still at the same term. A failover may lose the end of the log.
	ConfirmPrimary Confirmation = "primary"
)

// ReadKind is a kind of read.
type ReadKind struct {
	Name  string `json:"name"`
	Match Match  `json:"match"`
	// MaxStalenessMs is how far an endpoint that serves this kind may be behind
	// the primary, in milliseconds; 0 means that only the primary serves it.
	MaxStalenessMs int `json:"max_staleness_ms"`
	// AllowUnconfirmed lets reads on the primary return commits that a failover
	// may still undo.
	AllowUnconfirmed bool `json:"allow_unconfirmed,omitempty"`
}

// WriteKind is a kind of write.
type WriteKind struct {
	Name    string       `json:"name"`
	Match   Match        `json:"match"`
	Confirm Confirmation `json:"confirm"`
}

// Class is a class of statements for admission control.
type Class struct {
	Name  string `json:"name"`
	Match Match  `json:"match"`
	// DeadlineMs is the time in milliseconds after which a statement that has not
	// started is refused, counted from its arrival.
	DeadlineMs int `json:"deadline_ms"`
	// Priority ranges from 0 to 9. Classes with a higher priority are served
	// first.
	Priority int `json:"priority"`
	// LongRunning marks statements that run far longer than a booking.
	LongRunning bool `json:"long,omitempty"`
}
