package routing

import (
	"maps"
	"time"
)

const (
	// relayInitial stands for the time of an answer through a holder before the first
	// one. It is the order of magnitude of the users' statements.
	relayInitial = 20 * time.Millisecond
	// relayShare is the weight of the newest answer in the mean.
	relayShare = 0.2
	// relayForget is the time after which what was learned of a holder's answers is
	// halved, so that a holder that was slow is tried again.
	relayForget = 500 * time.Millisecond
	// relayFactor is how much longer the expected time through one holder must be for
	// another to be preferred. Smaller differences would send all hosts to one holder.
	relayFactor = 2
	// relayBackoff is how long a holder that failed gets no work: about the time until
	// other hosts know that it is gone and another one holds connections.
	relayBackoff = 500 * time.Millisecond
)

// Relays chooses through which of the hosts that hold connections to an endpoint a request
// goes. The zero value knows nothing of any holder. It is not safe for concurrent use.
//
// Load: one of the holders of an endpoint is slow or frozen, and the requests through it
// are held until their callers' deadlines. Of two holders, the one is taken through which
// fewer requests wait for an answer and answers came sooner; the third is left out, so that
// work spreads although the hosts do not know of each other's choices.
type Relays struct {
	holders map[string]holder
}

// holder is what was seen of one holder.
type holder struct {
	waiting int
	// mean is the mean time of the answers, as of the time.
	mean time.Duration
	at   time.Time
	// downUntil is until when the holder gets no work.
	downUntil time.Time
}

// Pick returns one of the holders, given by their addresses; false if there are none.
// random returns a number below its argument.
func (r *Relays) Pick(now time.Time, addresses []string, random func(int) int) (string, bool) {
	up := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if r.up(now, address) {
			up = append(up, address)
		}
	}
	if len(up) == 0 {
		up = addresses
	}
	switch len(up) {
	case 0:
		return "", false
	case 1:
		return up[0], true
	}
	i := random(len(up))
	j := random(len(up) - 1)
	if j >= i {
		j++
	}
	if relayFactor*r.expected(now, up[j]) <= r.expected(now, up[i]) {
		return up[j], true
	}
	return up[i], true
}

// up reports whether the holder may get work.
func (r *Relays) up(now time.Time, address string) bool {
	return !now.Before(r.holders[address].downUntil)
}

// expected returns the expected time of a request through the holder.
func (r *Relays) expected(now time.Time, address string) time.Duration {
	h := r.holders[address]
	return h.estimate(now) * time.Duration(h.waiting+1)
}

// estimate returns the mean time of the answers, moved towards relayInitial with age.
func (h holder) estimate(now time.Time) time.Duration {
	if h.at.IsZero() {
		return relayInitial
	}
	const mostHalvings = 16
	halvings := min(now.Sub(h.at)/relayForget, mostHalvings)
	return relayInitial + (h.mean-relayInitial)>>max(halvings, 0)
}

// Began notes a request through the holder.
func (r *Relays) Began(address string) {
	r.change(address, func(h *holder) { h.waiting++ })
}

// Ended notes that the request was answered, or given up, after the time.
func (r *Relays) Ended(now time.Time, address string, took time.Duration) {
	r.change(address, func(h *holder) {
		mean := h.estimate(now)
		h.waiting--
		h.mean = mean + time.Duration(relayShare*float64(took-mean))
		h.at = now
	})
}

// Failed keeps work away from a holder that did not answer or does not reach the endpoint.
// It returns false if no other of the holders is left.
func (r *Relays) Failed(now time.Time, address string, addresses []string) bool {
	r.change(address, func(h *holder) { h.downUntil = now.Add(relayBackoff) })
	for _, other := range addresses {
		if r.up(now, other) {
			return true
		}
	}
	return false
}

// change changes what is known of the holder.
func (r *Relays) change(address string, f func(*holder)) {
	if r.holders == nil {
		r.holders = make(map[string]holder)
	}
	h := r.holders[address]
	f(&h)
	r.holders[address] = h
}

// Keep forgets holders other than these through which no request waits.
func (r *Relays) Keep(addresses []string) {
	kept := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		kept[address] = true
	}
	maps.DeleteFunc(r.holders, func(address string, h holder) bool { return !kept[address] && h.waiting == 0 })
}
