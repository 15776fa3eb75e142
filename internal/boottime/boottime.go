//go:build !simulatedtime

package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, as a Time for arithmetic. It is
// not the time of day.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Unix(0, 0).Add(time.Since(processStart))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// processStart is the origin of the fallback for systems without this clock.
var processStart = time.Now()
