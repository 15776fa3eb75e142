package manifest

// Confirmation says when a write is confirmed to the caller.
type Confirmation string

// Confirmation modes.
const (
	// ConfirmReplicated waits until a majority has received the commit.
	ConfirmReplicated Confirmation = "replicated"
	// ConfirmPrimary waits until a majority was seen at the unchanged term after
	// the commit; the tail of the log may be lost at a failover.
	ConfirmPrimary Confirmation = "primary"
)

// ReadKind is a kind of read.
type ReadKind struct {
	Name  string `json:"name"`
	Match Match  `json:"match"`
	// MaxStalenessMs is how far behind the primary an endpoint may be, in
	// milliseconds; 0 means that only the primary serves this kind.
	MaxStalenessMs int `json:"max_staleness_ms"`
	// AllowUnconfirmed lets a read on the primary return commits that a failover
	// may still take away.
	AllowUnconfirmed bool `json:"allow_unconfirmed,omitempty"`
}

// WriteKind is a kind of write.
type WriteKind struct {
	Name    string       `json:"name"`
	Match   Match        `json:"match"`
	Confirm Confirmation `json:"confirm"`
}

// Class is a class of statements in admission.
type Class struct {
	Name  string `json:"name"`
	Match Match  `json:"match"`
	// DeadlineMs is the time from arrival after which the statement is refused if
	// it has not started, in milliseconds.
	DeadlineMs int `json:"deadline_ms"`
	// Priority orders classes; a higher one is served first. From 0 to 9.
	Priority int `json:"priority"`
	// LongRunning marks statements that run far longer than a booking.
	LongRunning bool `json:"long,omitempty"`
}
