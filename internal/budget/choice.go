package budget

import (
	"iter"
	"time"
)

// Activity is what a client's connection does.
type Activity uint8

// Activities.
const (
	// Working means that the host handles a statement. Such clients are not evicted: closing
	// their connection would free nothing before the statement ends.
	Working Activity = iota
	// Idle means that nothing of the next message has arrived.
	Idle
	// Awaited means that the host waits for the client: for the rest of its message, or until
	// it has read its answer.
	Awaited
)

const (
	// stallTime is how long the host waits for a client until the client counts as stalled.
	// It is hundreds of round trips; a message of 1 MiB takes less on a link of 10 Mbit/s.
	stallTime = time.Second
	// idleTime is how long a client must be idle before its connection is given to another
	// one. Callers at work send more than one statement in this time.
	idleTime = 10 * time.Second
)

// Client is what the choice of a client to evict depends on.
type Client struct {
	// Held is how many bytes the client holds.
	Held     int64
	Activity Activity
	// Since is the time of the client's last progress.
	Since time.Time
}

// stalled reports whether the client makes no progress.
func (c Client) stalled(now time.Time) bool {
	return c.Activity == Awaited && now.Sub(c.Since) >= stallTime
}

// ChooseForBytes chooses the client that is evicted to make room for one that would then hold
// the given number of bytes: the largest of the stalled clients, otherwise the largest client
// if it holds more than that. It returns false if there is none.
func ChooseForBytes[K any](now time.Time, holds int64, clients iter.Seq2[K, Client]) (victim K, stalled, ok bool) {
	most := holds
	for k, c := range clients {
		s := c.stalled(now)
		switch {
		case c.Activity == Working || stalled && !s:
		case s && !stalled, c.Held > most:
			victim, stalled, ok, most = k, s, true, c.Held
		}
	}
	return victim, stalled, ok
}

// ChooseForDescriptor chooses the client whose descriptor is given to another one: the one
// that has been stalled for longest, otherwise the one that has been idle for longest. It
// returns false if there is none.
func ChooseForDescriptor[K any](now time.Time, clients iter.Seq2[K, Client]) (victim K, stalled, ok bool) {
	var since time.Time
	for k, c := range clients {
		s := c.stalled(now)
		switch {
		case !s && (stalled || c.Activity != Idle || now.Sub(c.Since) < idleTime):
		case !ok, s && !stalled, c.Since.Before(since):
			victim, stalled, ok, since = k, s, true, c.Since
		}
	}
	return victim, stalled, ok
}

// maxCallers returns how many connections of callers a process with the given limit of
// descriptors accepts while it has others open, for endpoints and other hosts. A quarter is
// always kept free of callers, and an eighth is left for new descriptors of others.
func maxCallers(limit, others int) int {
	return max(limit-max(limit/4, others+limit/8), limit/8)
}
