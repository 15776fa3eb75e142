package boottime

import "time"

// Milliseconds returns a time of this clock in milliseconds since the host booted, for logs: the
// processes of one machine share the clock. The zero time gives 0.
func Milliseconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}
