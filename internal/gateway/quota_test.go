package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// testRules have a short window, so that a test spans several of them.
var testRules = quota.Rules{Window: time.Second, Overage: 0.1, Slack: 5}

// runTimes records when callers sent statements and when the endpoints ran them.
type runTimes struct {
	mu   sync.Mutex
	sent map[string]time.Time
	runs []run
}

// run is one run of a statement.
type run struct{ sent, ran time.Time }

// statement returns a statement like st that is sent now.
func (r *runTimes) statement(st session.Statement) session.Statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	st.ID = fmt.Sprintf("q%d", len(r.sent))
	r.sent[st.ID] = boottime.Now()
	return st
}

// record records that an endpoint runs the statement with the ID.
func (r *runTimes) record(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sent, ok := r.sent[id]; ok {
		r.runs = append(r.runs, run{sent, boottime.Now()})
	}
}

// mostInWindow returns the largest number of runs in any window. A run counts in a window if its
// statement was sent and ran within it: on a busy machine, statements that were sent during more
// than a window may run at the same time.
func (r *runTimes) mostInWindow(window time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for _, first := range r.runs {
		n := 0
		for _, other := range r.runs {
			if !other.sent.Before(first.sent) && other.ran.Sub(first.sent) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// startLimitedFleet starts hosts with a limited team red, whose runs are recorded.
func startLimitedFleet(t *testing.T, limit quota.Limit, hosts ...string) (*fakeFleet, *runTimes) {
	t.Helper()
	f := newFleet(manyConnections)
	f.configure = func(cfg *gateway.Config) { cfg.Quota = testRules }
	f.putTeams(2, access.Entry{Name: "red", Keys: []string{"r1"}, Limited: true, Rate: limit.Rate, Burst: limit.Burst})
	f.startAll(t, hosts...)
	runs := &runTimes{sent: make(map[string]time.Time)}
	f.group.mu.Lock()
	f.group.onRun = func(_ string, _ *fakeEndpoint, r gateway.Request) { runs.record(r.ID) }
	f.group.mu.Unlock()
	return f, runs
}

// callersPerHost is the number of callers of a flood at each host. Together they wait for more
// tokens than the limit gives within the longest wait.
const callersPerHost = 8

// flood sends statements of the team red through the hosts as fast as they are answered, for a
// while. It returns how many were served, and the refusals.
func (f *fakeFleet) flood(runs *runTimes, duration time.Duration, hosts ...string) (served int, refusals []gateway.Reply) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for _, host := range slices.Repeat(hosts, callersPerHost) {
		caller := f.callerWithKey(host, "keyed", "r1")
		wg.Go(func() {
			for time.Now().Before(end) {
				r := caller.do(runs.statement(readX))
				mu.Lock()
				if r.OK() {
					served++
				} else {
					refusals = append(refusals, r)
				}
				mu.Unlock()
				time.Sleep(time.Millisecond)
			}
		})
	}
	wg.Wait()
	return served, refusals
}

// Guards against a team that is served beyond its limit because each host counts for itself, and
// against one that is refused altogether. How much of the limit is served depends on the speed of
// the machine here; TestServedShare of package quota checks it in virtual time.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	limit := quota.Limit{Rate: 40, Burst: 10}
	f, runs := startLimitedFleet(t, limit, "h1", "h2", "h3", "h4")
	time.Sleep(quota.RoleDelay + time.Second)
	served, refusals := f.flood(runs, 3*time.Second, "h1", "h2", "h3", "h4")
	g.Expect(runs.mostInWindow(testRules.Window)).To(BeNumerically("<=", testRules.Allowed(limit)))
	g.Expect(served).To(BeNumerically(">", 0))
	g.Expect(refusals).NotTo(BeEmpty())
	for _, r := range refusals {
		g.Expect(r.Code).To(Equal(gateway.CodeBusy))
		g.Expect(strings.HasPrefix(r.Detail, "refused.quota retry-after-ms=")).To(BeTrue(), r.Detail)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Expect(f.lendCalls).To(BeNumerically("<", served+len(refusals)))
}

// Guards against a limit that is exceeded when a lender is killed and starts again with a full
// bucket, or when a partition leaves lenders on both sides, and against one that is not served
// any more afterwards.
func TestLimitHoldsThroughFailures(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	limit := quota.Limit{Rate: 40, Burst: 10}
	hosts := []string{"h1", "h2", "h3", "h4", "h5"}
	f, runs := startLimitedFleet(t, limit, hosts...)
	time.Sleep(quota.RoleDelay + time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.flood(runs, 6*time.Second, hosts...)
	}()
	for _, host := range hosts[:2] {
		time.Sleep(300 * time.Millisecond)
		f.mu.Lock()
		f.stops[host]()
		f.mu.Unlock()
		f.start(t, host)
	}
	f.mu.Lock()
	f.partition["h4"], f.partition["h5"] = 1, 1
	f.mu.Unlock()
	f.store.setUnavailable("h4", true)
	f.store.setUnavailable("h5", true)
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	f.partition["h4"], f.partition["h5"] = 0, 0
	f.mu.Unlock()
	f.store.setUnavailable("h4", false)
	f.store.setUnavailable("h5", false)
	<-done
	g.Expect(runs.mostInWindow(testRules.Window)).To(BeNumerically("<=", testRules.Allowed(limit)))
	served, _ := f.flood(runs, 2*time.Second, hosts...)
	g.Expect(served).To(BeNumerically(">", 0))
}

// runOperation runs an operation of one statement; within a transaction if inTransaction is set.
func (c *fakeCaller) runOperation(inTransaction bool, st session.Statement) {
	if inTransaction {
		c.do(session.Statement{ID: "b", Op: session.OpBeginRead})
		defer c.do(session.Statement{ID: "b", Op: session.OpRollback})
	}
	c.do(st)
}

// Guards against a token that is given back, or used for another attempt, although the statement
// ran: its effect was undone, or its answer could not be kept. Up to 28,668 such statements ran in
// a window that allowed 60.
func TestStatementsThatRanWithoutEffectCount(t *testing.T) {
	t.Parallel()
	limit := quota.Limit{Rate: 40, Burst: 10}
	hosts := []string{"h1", "h2", "h3", "h4"}
	for _, item := range []string{abortedItem, droppedItem} {
		for _, inTransaction := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in a transaction: %v", item, inTransaction), func(t *testing.T) {
				t.Parallel()
				f, runs := startLimitedFleet(t, limit, hosts...)
				time.Sleep(quota.RoleDelay + time.Second)
				var wg sync.WaitGroup
				end := time.Now().Add(1500 * time.Millisecond)
				for _, host := range slices.Repeat(hosts, callersPerHost) {
					caller := f.callerWithKey(host, "keyed", "r1")
					wg.Go(func() {
						for time.Now().Before(end) {
							caller.runOperation(inTransaction, runs.statement(session.Statement{Op: session.OpRead, Text: "READ " + item}))
							time.Sleep(time.Millisecond)
						}
					})
				}
				wg.Wait()
				NewWithT(t).Expect(runs.mostInWindow(testRules.Window)).To(BeNumerically("<=", testRules.Allowed(limit)))
			})
		}
	}
}
