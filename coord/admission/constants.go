package admission

import "time"

// eligibilityRecheck is the time after which work that no free endpoint could
// run is checked again; replicas move on without an event.
const eligibilityRecheck = 5 * time.Millisecond
