package routing

import "time"

// DirectRetry is how often a host on a detour tries the direct way again. It is a
// little below the time of one failed dial, so that at most one is under way.
const DirectRetry = 500 * time.Millisecond

// RelayRoute decides how a host reaches an endpoint: directly, or through other hosts
// while this host is cut off from it and they are not. The zero value is the direct
// way. It is not safe for concurrent use.
//
// Load: a primary that is partitioned from some of the hosts. Without detours their
// callers are refused until the partition heals, although the primary serves the
// callers of other hosts and must not be replaced.
type RelayRoute struct {
	via  []string
	next int
	// triedAt is when the direct way was last tried.
	triedAt time.Time
}

// SetRelays starts or refreshes the detour with the addresses of hosts that reach the
// endpoint. Without addresses it changes nothing.
func (d *RelayRoute) SetRelays(now time.Time, via []string) {
	if len(via) == 0 {
		return
	}
	if !d.Active() {
		d.triedAt = now
	}
	d.via = via
}

// Active reports whether the endpoint is reached through other hosts.
func (d *RelayRoute) Active() bool { return len(d.via) > 0 }

// NextRelay returns the address of the host to go through, in turn, so that the work of
// a host that is cut off spreads over the others. The detour must be active.
func (d *RelayRoute) NextRelay() string {
	d.next++
	return d.via[d.next%len(d.via)]
}

// TryDirect reports whether the direct way should be tried now, and counts it as
// tried.
func (d *RelayRoute) TryDirect(now time.Time) bool {
	if !d.Active() || now.Sub(d.triedAt) < DirectRetry {
		return false
	}
	d.triedAt = now
	return true
}

// Clear returns to the direct way. It reports whether the detour was active.
func (d *RelayRoute) Clear() bool {
	active := d.Active()
	d.via = nil
	return active
}
