package settings

// Limits bounds what callers can make the daemon use.
type Limits struct {
	// MessageBytes is the largest message of a caller.
	MessageBytes int `json:"message_bytes"`
	// Callers is the largest number of open caller connections.
	Callers int `json:"callers"`
	// IdleTimeout is how long a caller may send nothing outside a request.
	IdleTimeout Duration `json:"idle_timeout"`
	// MemoryBytes is the daemon's soft memory limit.
	MemoryBytes int `json:"memory_bytes"`
}
