package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/routing"
)

const (
	// latencyShare is the weight of the newest answer in the mean service time.
	latencyShare = 0.1
	// initialLatency stands for the service time before the first answer. It is the
	// order of magnitude of the users' statements.
	initialLatency = 20 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause before an unreachable endpoint is
	// tried again.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// holderBackoff is how long a holder that failed gets no work: about the time until
	// other hosts know that it is gone and another one holds connections.
	holderBackoff = 500 * time.Millisecond
)

// target is an endpoint with its connections and what traffic has shown of it.
// All fields are guarded by the mutex of its group.
type target struct {
	Endpoint
	group *group
	// gone targets are no longer in the directory.
	gone bool
	// unlistedAt is when the entry vanished from the directory; zero if it is listed.
	unlistedAt time.Time
	// drainingSince is when this host learned that the endpoint leaves.
	drainingSince time.Time

	// relayed targets are reached through one of the holders, given by address.
	relayed bool
	holders []string
	// holderDown holds until when holders get no work, by their addresses.
	holderDown map[string]time.Time
	// detour leads through other hosts while this one is cut off from the endpoint.
	detour routing.RelayRoute

	idle []*conn
	// conns holds every open connection.
	conns map[*conn]bool
	// opening counts connections that are being opened.
	opening int
	// limit is this host's share of the endpoint's connections.
	limit   int
	waiting waitQueue

	// window bounds the busy connections.
	window int

	inFlight int
	latency  time.Duration
	lag      routing.LagEstimator
	// answered is when the last answer came in.
	answered time.Time
	// failures counts failed dials and lost connections since the last answer.
	failures  int
	downUntil time.Time
}

// newTarget returns the target of an endpoint without connections.
func newTarget(g *group, e Endpoint) *target {
	return &target{Endpoint: e, group: g, limit: minConnections, window: minConnections, conns: make(map[*conn]bool), holderDown: make(map[string]time.Time), latency: initialLatency}
}

// open returns the number of connections that exist or are being opened.
func (t *target) open() int { return len(t.conns) + t.opening }

// overdueFactor is how many times the mean service time an answer is awaited until the
// statement no longer counts against the window, as its answer is probably lost.
const overdueFactor = 4

// mayStart reports whether the window allows another statement.
//
// Load: a crest beyond an endpoint's slots. What waits at the endpoint is served in order
// of arrival, or shed; what waits here is served by its objective and its priority, and
// refused at once if it is hopeless.
func (t *target) mayStart(now time.Time) bool {
	under := t.opening
	for c := range t.conns {
		if c.busy && (c.since.IsZero() || now.Sub(c.since) < overdueFactor*t.latency) {
			under++
		}
	}
	return under < t.window
}

// leaving reports whether the endpoint should get no new work: it drains, or its
// entry has been missing for so long that it counts as gone.
func (t *target) leaving(now time.Time) bool {
	return t.Draining || !t.unlistedAt.IsZero() && now.Sub(t.unlistedAt) >= unlistedGrace
}

// usable reports whether new work may be sent to the endpoint.
func (t *target) usable(now time.Time) bool { return !t.gone && !now.Before(t.downUntil) }

// expectedWait estimates how long new work takes here, its own run included.
func (t *target) expectedWait() time.Duration {
	slots := max(t.Slots, 1)
	queued := t.inFlight + t.waiting.len()
	return t.latency + t.latency*time.Duration(queued)/time.Duration(slots)
}

// queueWait estimates how long new work waits here for one of this host's
// connections, behind so many others, and then for its answer.
func (t *target) queueWait(ahead int) time.Duration {
	return t.latency * time.Duration(ahead+t.window) / time.Duration(max(t.window, 1))
}

// succeeded records an answer.
func (t *target) succeeded(now time.Time) {
	t.answered = now
	t.succeededDial()
}

// ran records how long the answer to a statement that ran was awaited. Refusals are left
// out: they come at once. Load: an endpoint whose queue is full sheds half of its work, and
// would look faster the more it sheds.
func (t *target) ran(took time.Duration) {
	t.latency += time.Duration(latencyShare * float64(took-t.latency))
}

// succeededDial lets work be sent to the endpoint at once, after failures.
func (t *target) succeededDial() {
	t.failures = 0
	t.downUntil = time.Time{}
}

// throughOthers reports whether the endpoint is reached through other hosts.
func (t *target) throughOthers() bool { return t.relayed || t.detour.Active() }

// via returns the address of the host to go through. It returns false if there is
// none.
func (t *target) via(now time.Time) (string, bool) {
	if t.detour.Active() {
		return t.detour.NextRelay(), true
	}
	up := make([]string, 0, len(t.holders))
	for _, address := range t.holders {
		if !now.Before(t.holderDown[address]) {
			up = append(up, address)
		}
	}
	if len(up) == 0 {
		up = t.holders
	}
	if len(up) == 0 {
		return "", false
	}
	return up[rand.N(len(up))], true
}

// holderFailed keeps work away from a holder that did not answer or does not reach the
// endpoint. It returns false if no other holder is left. Load: half of the hosts are
// killed at once, a third of the calls go to a dead holder, and the endpoint itself would
// count as down.
func (t *target) holderFailed(now time.Time, address string) bool {
	maps.DeleteFunc(t.holderDown, func(_ string, until time.Time) bool { return !now.Before(until) })
	t.holderDown[address] = now.Add(holderBackoff)
	kept := t.idle[:0]
	for _, c := range t.idle {
		if c.via == address {
			t.drop(c)
			continue
		}
		kept = append(kept, c)
	}
	t.idle = kept
	return slices.ContainsFunc(t.holders, func(other string) bool { return t.holderDown[other].IsZero() })
}

// failed records a failed dial or a lost connection.
func (t *target) failed(now time.Time) {
	t.failures++
	pause := min(firstBackoff<<min(t.failures-1, 10), maxBackoff)
	t.downUntil = now.Add(pause)
}

// oldestInFlight returns when the oldest unanswered statement was sent.
func (t *target) oldestInFlight() time.Time {
	var oldest time.Time
	for c := range t.conns {
		if !c.since.IsZero() && (oldest.IsZero() || c.since.Before(oldest)) {
			oldest = c.since
		}
	}
	return oldest
}
