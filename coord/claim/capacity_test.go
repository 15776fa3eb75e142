package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
)

// Measures one claim after the owner died: calls to endpoints, pre-votes, virtual time
// with messages that take 1 ms each way, and the processor time of the machine's steps
// and the model together. It includes the status polls of that time.
func BenchmarkClaim(b *testing.B) {
	for _, servers := range []int{3, 5} {
		b.Run(fmt.Sprintf("endpoints=%d", servers), func(b *testing.B) {
			var polls, calls, votes int
			var took time.Duration
			for b.Loop() {
				onePolls, oneCalls, oneVotes, oneTook := claimOnce(b, servers)
				polls, calls, votes, took = polls+onePolls, calls+oneCalls, votes+oneVotes, took+oneTook
			}
			b.ReportMetric(float64(polls)/float64(b.N), "polls/claim")
			b.ReportMetric(float64(calls)/float64(b.N), "calls/claim")
			b.ReportMetric(float64(votes)/float64(b.N), "prevotes/claim")
			b.ReportMetric(took.Seconds()*1000/float64(b.N), "virtual-ms/claim")
		})
	}
}

// claimOnce stops the owner of a running group, and counts polls, calls and pre-votes
// until the next owner serves it.
func claimOnce(b *testing.B, servers int) (polls, calls, votes int, took time.Duration) {
	cl := newCluster(4, servers, b.Fatalf)
	cl.runFor(5 * time.Second)
	owner := cl.owner()
	if owner == nil {
		b.Fatal("no owner after 5 s")
	}
	owner.paused = true
	cl.onAction = func(a claim.Action) {
		switch a := a.(type) {
		case claim.Call:
			if a.Kind == claim.CallStatus {
				polls++
			} else {
				calls++
			}
		case claim.RequestPreVotes:
			votes += len(a.Peers)
		}
	}
	start := cl.now
	for cl.now-start < 10*time.Second {
		cl.runFor(stepTime)
		if n := cl.owner(); n != nil && n != owner {
			return polls, calls, votes, cl.now - start
		}
	}
	b.Fatal("no new owner within 10 s")
	return
}
