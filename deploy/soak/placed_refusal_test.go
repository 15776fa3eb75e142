package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Guards against a host that goes on using a replaced primary for new requests, because the holder
// of the claim took a refused connection for the end of its process: a network partition that
// rejects packets leaves one host with the primary only, while that is replaced as planned (issue
// 42, STALE by the caller's first byte).
func TestHostThatRefusesConnectionsDoesNotUseReplacedPrimary(t *testing.T) {
	const changes = 2
	runPlacedOn(t, true, func(ctx context.Context, r *runner, random *rand.Rand) {
		g := NewWithT(t)
		for range changes {
			wait.Sleep(ctx, time.Second+upTo(random, time.Second))
			e := r.group.primary()
			if e == nil || !r.group.beginReplacement(e) {
				continue
			}
			g.Expect(r.join(ctx)).To(Succeed())
			wait.Sleep(ctx, longestSync)
			// Two hosts reach the primary. The one that does not claim is left alone with it.
			reaching := r.hostList()[:2]
			h := reaching[1]
			var once sync.Once
			r.store.setOnClaim(func(holder string) {
				once.Do(func() {
					if holder == h.name {
						h = reaching[0]
					}
					others := r.hostsExcept(h.name)
					r.store.setFault(h.name, storeUnavailable)
					h.proxy.refuse()
					r.paths.reject([]string{h.name}, others)
					r.paths.reject([]string{h.name}, r.endpointsExcept(e.id))
					r.paths.reject(others, []string{e.id})
				})
			})
			r.paths.reject(r.hostsExcept(reaching[0].name, reaching[1].name), []string{e.id})
			r.group.drain(e)
			replaced, cancel := context.WithTimeout(ctx, changeTimeout)
			for replaced.Err() == nil && !r.group.hasSuccessor(e) {
				wait.Sleep(replaced, time.Millisecond)
			}
			cancel()
			// Callers of the host learn of the commit, and send new requests.
			wait.Sleep(ctx, time.Second)
			r.store.setOnClaim(nil)
			once.Do(func() {}) // Waits until a call in progress has ended.
			r.paths.restore()
			g.Expect(h.proxy.admit()).To(Succeed())
			r.store.setFault(h.name, storeHealthy)
			wait.Sleep(ctx, time.Second)
			r.group.leave(e, true)
		}
	})
}

// endpointsExcept returns the IDs of all endpoints but the given one.
func (r *runner) endpointsExcept(id string) []string {
	var out []string
	for _, e := range r.group.list() {
		if e.id != id {
			out = append(out, e.id)
		}
	}
	return out
}

// setOnClaim sets onClaim.
func (s *store) setOnClaim(f func(host string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onClaim = f
}
