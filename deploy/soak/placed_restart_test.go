package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Guards against a host that goes on using a replaced primary because the holder of the claim took
// it for a host that does not run: the primary is replaced as planned while it is cut off from most
// hosts, and the hosts that still reach it are stopped and killed and start again at once, several
// times in a row. Without the plan these hosts tell the others that the primary answers, and it is
// replaced in few runs only.
func TestHostsThatRestartDuringChangeDoNotUseReplacedPrimary(t *testing.T) {
	const changes = 2
	runPlacedWith(t, Config{allDatabases: true, directHosts: true, script: func(ctx context.Context, r *runner, random *rand.Rand) {
		for range changes {
			wait.Sleep(ctx, time.Second+upTo(random, time.Second))
			e := r.group.primary()
			if e == nil || !r.group.beginReplacement(e) {
				continue
			}
			NewWithT(t).Expect(r.join(ctx)).To(Succeed())
			wait.Sleep(ctx, longestSync)
			r.cutOffFromMost(ctx, random, 2*changeTimeout, func(ctx context.Context, hosts []*host) {
				r.group.drain(e)
				r.restartRepeatedly(ctx, random, hosts)
			})
			r.group.leave(e, true)
		}
		r.activeFaults.Wait()
	}})
}
