//go:build simulatedtime

package boottime

import "time"

// Now returns the runtime's time, so that the simulated time of package testing/synctest
// applies to the whole program.
func Now() time.Time { return time.Now().Round(0) }
