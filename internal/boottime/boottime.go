// Package boottime reads a clock that never steps and that goes on while the
// host is suspended. The runtime's monotonic clock stops then, so ages taken
// from it would look younger than they are.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted as a Time for arithmetic; it is not
// the time of day.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Unix(0, 0).Add(time.Since(started))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// started is the origin of the fallback for systems without the clock.
var started = time.Now()
