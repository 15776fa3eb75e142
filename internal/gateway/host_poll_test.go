package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
)

// Guards against a host that is polled twice, so that its answers count twice towards a
// majority, because its row was removed and written again.
func TestRelistedHostIsPolledOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := newController(&Gateway{cfg: Config{Host: "h1"}})
	c.members["h2"] = &member{hostRecord: hostRecord{Name: "h2", Address: "a2"}}
	c.removals.departures["a2"], c.removals.departures["a3"] = departure{at: now}, departure{at: now}
	g.Expect(c.primaryUsers(now)).To(Equal(map[string]string{"h2": "a2", "former a3": "a3"}))
}

// Guards against a refused connection that counts as an acknowledgement, in the quorum or instead of
// the wait for the permission of that host: a network partition may refuse connections to a host
// that still uses the primary (issue 42).
func TestRefusedConnectionIsNoAcknowledgement(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	poll := hostPoll{
		own: "a1", asked: map[string]bool{"a2": true, "a3": true}, replies: map[string]FenceReply{},
		refused: map[string]bool{"a2": true}, endedAt: map[string]time.Time{"a2": now},
	}
	voters := electorate.New([]string{"a1", "a2", "a3"}, nil)
	g.Expect(poll.quorum(voters, noneLeft)).To(BeFalse())
	g.Expect(poll.answeredBy(map[string]string{"h2": "a2"})).To(BeFalse())
	poll.replies["a3"], poll.endedAt["a3"] = FenceReply{}, now.Add(time.Second)
	g.Expect(poll.quorum(voters, noneLeft)).To(BeTrue())
	g.Expect(poll.quorumAt(voters, noneLeft, now)).To(Equal(now.Add(time.Second)))
	g.Expect(poll.answeredBy(map[string]string{"h2": "a2", "h3": "a3"})).To(BeFalse())
}

// Guards against a holder of a claim that does not wait for a host which has written its row since
// the claim, and was asked as a voter only: it refused the connection as it was just about to start
// (issue 42).
func TestHostListedDuringFencePollIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := newController(&Gateway{cfg: Config{Host: "h1"}})
	c.startedAt = now.Add(-time.Minute)
	poll := hostPoll{own: "a1", asked: map[string]bool{"a2": true, "a3": true}, replies: map[string]FenceReply{"a3": {}}}
	voters := electorate.New([]string{"a1", "a2", "a3"}, nil)
	g.Expect(c.accountedFor(&poll, voters, longestFencePoll, now)).To(BeTrue())
	c.members["h2"] = &member{hostRecord: hostRecord{Name: "h2", Address: "a2"}}
	g.Expect(c.accountedFor(&poll, voters, longestFencePoll, now)).To(BeFalse())
	poll.replies["a2"] = FenceReply{}
	g.Expect(c.accountedFor(&poll, voters, longestFencePoll, now)).To(BeTrue())
	g.Expect(c.accountedFor(&poll, voters, longestFencePoll+1, now)).To(BeFalse())
	c.startedAt = now.Add(-permission.Duration / 2)
	g.Expect(c.accountedFor(&poll, voters, longestFencePoll, now)).To(BeFalse())
}
