package settings

// Limits holds the limits on callers and on the daemon's memory.
type Limits struct {
	// MessageBytes is the largest size of a caller's message.
	MessageBytes int `json:"message_bytes"`
	// Callers is the largest number of open caller connections.
	Callers int `json:"callers"`
	// IdleTimeout is how long a caller may be idle outside a request.
	IdleTimeout Duration `json:"idle_timeout"`
	// MemoryBytes is the daemon's soft memory limit.
	MemoryBytes int `json:"memory_bytes"`
}
