package routing

import "time"

// DirectRetryInterval is the time between two attempts to reach an endpoint directly
// while relays are in use. It is a little below the time of one failed dial, so that at
// most one dial is in progress.
const DirectRetryInterval = 500 * time.Millisecond

// RelayRoute decides how a host reaches an endpoint: directly, or through other hosts
// (relays) while this host is cut off from the endpoint and they are not. The zero value
// uses the direct connection. It is not safe for concurrent use.
//
// It is needed when a network partition separates the primary from some of the hosts.
// Without relays, these hosts would refuse their callers until the partition heals,
// although the primary serves the callers of other hosts and must not be replaced.
type RelayRoute struct {
	relays []string
	next   int
	// directTriedAt is when the direct connection was last tried.
	directTriedAt time.Time
}

// SetRelays sets the addresses of the hosts that reach the endpoint, and starts to use
// them as relays. Without addresses it changes nothing.
func (r *RelayRoute) SetRelays(now time.Time, via []string) {
	if len(via) == 0 {
		return
	}
	if !r.Active() {
		r.directTriedAt = now
	}
	r.relays = via
}

// Active reports whether relays are in use.
func (r *RelayRoute) Active() bool { return len(r.relays) > 0 }

// NextRelay returns the address of the relay for the next request. It takes the relays
// in turn, so that they share the load. Relays must be in use.
func (r *RelayRoute) NextRelay() string {
	r.next++
	return r.relays[r.next%len(r.relays)]
}

// Upcoming returns the relays in the order in which NextRelay will return them.
func (r *RelayRoute) Upcoming() []string {
	out := make([]string, 0, len(r.relays))
	for i := range r.relays {
		out = append(out, r.relays[(r.next+1+i)%len(r.relays)])
	}
	return out
}

// TryDirect reports whether the direct connection should be tried now, and records it as
// tried.
func (r *RelayRoute) TryDirect(now time.Time) bool {
	if !r.Active() || now.Sub(r.directTriedAt) < DirectRetryInterval {
		return false
	}
	r.directTriedAt = now
	return true
}

// Clear returns to the direct connection. It reports whether relays were in use.
func (r *RelayRoute) Clear() bool {
	active := r.Active()
	r.relays = nil
	return active
}
