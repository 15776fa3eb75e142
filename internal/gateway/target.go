package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/concurrency"
	"github.com/beryltrestle/beryltrestle/coord/routing"
)

const (
	// serviceTimeWeight is the weight of the newest value in the moving average of the
	// service time.
	serviceTimeWeight = 0.1
	// initialServiceTime is the assumed service time before the first answer. It is
	// about that of the users' statements.
	initialServiceTime = 20 * time.Millisecond
	// firstBackoff and maxBackoff limit the exponential backoff for an unreachable
	// endpoint.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// relayBackoff is how long a failed relay host gets no work. It is about the time
	// until the other hosts know that the host is lost and another host has taken over
	// its connections.
	relayBackoff = 500 * time.Millisecond
)

// target is an endpoint with this host's connections to it and what was learned from
// its answers. The mutex of the group guards all fields.
type target struct {
	Endpoint
	group *group
	// removed is true once the endpoint is no longer used, because it left or was
	// replaced.
	removed bool
	// unlistedAt is when the endpoint's row disappeared; zero while the endpoint is
	// listed.
	unlistedAt time.Time
	// drainingSince is when this host learned that the endpoint is leaving. While the
	// endpoint is not leaving, it is the time of the last check.
	drainingSince time.Time
	// inServiceAsOf is the newest time as of which the endpoint was listed and did not
	// drain; zero if this host has only known it draining.
	inServiceAsOf time.Time

	// viaRelays is true if this host has no connections to the endpoint but sends
	// requests through one of the relays, given by address.
	viaRelays bool
	relays    []string
	// relayDownUntil holds until when a failed relay, given by address, gets no work.
	relayDownUntil map[string]time.Time
	// relayRoute leads through other hosts while this host is cut off from the
	// endpoint.
	relayRoute routing.RelayRoute

	idle []*conn
	// conns holds every open connection, idle or in use.
	conns map[*conn]bool
	// opening is the number of connections that are being opened.
	opening int
	// limit is this host's limit of connections to the endpoint.
	limit   int
	waiting waitQueue

	// window limits the number of busy connections.
	window int
	// limiter learns the endpoint's concurrency limit, from which the window follows; nil
	// if the window is fixed. reduced is true while the limit is below the slots.
	limiter *concurrency.Limiter
	reduced bool
	// directHosts and rank are those of the plan; directHosts is 0 without direct
	// connections.
	directHosts, rank int
	// view holds what the hosts with connections to the endpoint report.
	view concurrency.View

	inFlight    int
	serviceTime time.Duration
	lag         routing.LagEstimator
	// answeredAt is when the endpoint last answered.
	answeredAt time.Time
	// failures counts failed dials and lost connections since the last answer.
	failures     int
	backoffUntil time.Time
}

// newTarget returns the target of an endpoint without connections.
func newTarget(g *group, e Endpoint) *target {
	return &target{Endpoint: e, group: g, limit: minConnections, window: minConnections, conns: make(map[*conn]bool), relayDownUntil: make(map[string]time.Time), serviceTime: initialServiceTime}
}

// connCount returns the number of connections that are open or being opened.
func (t *target) connCount() int { return len(t.conns) + t.opening }

// overdueFactor times the mean service time is how long a statement counts against the
// window. After that its answer is probably lost.
const overdueFactor = 4

// mayStart reports whether the window allows another statement.
//
// The window keeps statements in this host's queue when more arrive than the endpoint
// has slots for. The endpoint serves its own queue in order of arrival and rejects what
// does not fit; this host orders waiting statements by latency objective and priority,
// and refuses at once what cannot be served in time.
func (t *target) mayStart(now time.Time) bool {
	running := t.opening
	for c := range t.conns {
		if c.busy && (c.sentAt.IsZero() || now.Sub(c.sentAt) < overdueFactor*t.serviceTime) {
			running++
		}
	}
	return running < t.window
}

// leaving reports whether the endpoint should get no new work: it is draining, or its
// row has been missing for longer than unlistedGrace.
func (t *target) leaving(now time.Time) bool {
	return t.Draining || !t.unlistedAt.IsZero() && now.Sub(t.unlistedAt) >= unlistedGrace
}

// drainMargin is subtracted from the drain bound. It covers the way of a statement that waits
// for a connection and is then on its way to the endpoint.
const drainMargin = 500 * time.Millisecond

// drained reports whether the endpoint may have been leaving for so long that it must get no
// new work, not even as the primary. The time counts from when it was last known to be in
// service, since this host learns of the change later.
func (t *target) drained(now time.Time) bool {
	return t.leaving(now) && now.Sub(t.inServiceAsOf) >= t.group.pool.drainBound-drainMargin
}

// usable reports whether new work may be sent to the endpoint.
func (t *target) usable(now time.Time) bool { return !t.removed && !now.Before(t.backoffUntil) }

// expectedWait estimates how long a new statement takes here, including its own run.
func (t *target) expectedWait() time.Duration {
	slots := max(t.Slots, 1)
	queued := t.inFlight + t.waiting.len()
	return t.serviceTime + t.serviceTime*time.Duration(queued)/time.Duration(slots)
}

// queueWait estimates how long a new statement takes if the given number of statements
// wait for this host's connections before it.
func (t *target) queueWait(ahead int) time.Duration {
	return t.serviceTime * time.Duration(ahead+t.window) / time.Duration(max(t.window, 1))
}

// recordAnswer records that the endpoint has answered.
func (t *target) recordAnswer(now time.Time) {
	t.answeredAt = now
	t.clearBackoff()
}

// recordServiceTime updates the mean service time with the response time of a statement
// that ran. Rejected statements are left out because they are answered at once: an
// endpoint with a full queue, which may reject half of its statements, would look
// faster the more it rejects.
func (t *target) recordServiceTime(took time.Duration) {
	t.serviceTime += time.Duration(serviceTimeWeight * float64(took-t.serviceTime))
}

// clearBackoff allows work to be sent to the endpoint again after failures.
func (t *target) clearBackoff() {
	t.failures = 0
	t.backoffUntil = time.Time{}
}

// sharesConnections reports whether only some hosts, of which this may be one, have connections to
// the endpoint.
func (t *target) sharesConnections() bool { return t.viaRelays || t.directHosts > 0 }

// usesRelay reports whether the endpoint is reached through other hosts.
func (t *target) usesRelay() bool { return t.viaRelays || t.relayRoute.Active() }

// nextRelay returns the address of the relay host for the next connection. It returns
// false if there is none.
func (t *target) nextRelay(now time.Time, r connRequest) (string, bool) {
	if t.relayRoute.Active() {
		return t.relayRoute.NextRelay(), true
	}
	usable := t.usableRelays(now, r)
	if len(usable) == 0 {
		return "", false
	}
	return usable[rand.N(len(usable))], true
}

// usableRelays returns the relay hosts of the plan from which one is taken for the next
// connection. It changes nothing.
func (t *target) usableRelays(now time.Time, r connRequest) []string {
	available := make([]string, 0, len(t.relays))
	for _, address := range t.relays {
		if !now.Before(t.relayDownUntil[address]) {
			available = append(available, address)
		}
	}
	if len(available) == 0 {
		available = t.relays
	}
	if r.team != "" {
		return routing.TeamRelays(r.team, r.share, t.ID, available)
	}
	return available
}

// relayFailed keeps work away from a relay host that did not answer or does not reach
// the endpoint. It returns false if no other relay is left. If this were not done when
// half of the hosts are killed at once, a third of the calls would go to an
// unresponsive relay host and the endpoint itself would count as down.
func (t *target) relayFailed(now time.Time, address string) bool {
	maps.DeleteFunc(t.relayDownUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	t.relayDownUntil[address] = now.Add(relayBackoff)
	kept := t.idle[:0]
	for _, c := range t.idle {
		if c.relayAddress == address {
			t.drop(c)
			continue
		}
		kept = append(kept, c)
	}
	t.idle = kept
	return slices.ContainsFunc(t.relays, func(other string) bool { return t.relayDownUntil[other].IsZero() })
}

// recordFailure records a failed dial or a lost connection and backs off.
func (t *target) recordFailure(now time.Time) {
	t.failures++
	pause := min(firstBackoff<<min(t.failures-1, 10), maxBackoff)
	t.backoffUntil = now.Add(pause)
}

// oldestInFlight returns when the oldest unanswered statement was sent; zero if there
// is none.
func (t *target) oldestInFlight() time.Time {
	var oldest time.Time
	for c := range t.conns {
		if !c.sentAt.IsZero() && (oldest.IsZero() || c.sentAt.Before(oldest)) {
			oldest = c.sentAt
		}
	}
	return oldest
}
