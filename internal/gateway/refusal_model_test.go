package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/rows"
)

const (
	// refusalStep is the unit of the model's time.
	refusalStep = 100 * time.Millisecond
	// refusalPoll is the length of the longest poll, and refusalLease that of a permission, in steps.
	refusalPoll  = int8(longestFencePoll / refusalStep)
	refusalLease = int8(permission.Duration / refusalStep)
	// refusalNever stands for no time, and refusalLongAgo for one before every permission.
	refusalNever, refusalLongAgo = int8(-128), int8(-60)
	// refusalHosts is the size of the larger fleet.
	refusalHosts = 5
)

// refusalRules are the rules of a failover, each of which a test can switch off.
type refusalRules struct {
	// refusalVotes counts a refused connection as a vote in the quorum of the claim.
	refusalVotes bool
	// refusalEndsWait counts a refused connection as the end of a permission.
	refusalEndsWait bool
	// evidenceFromStart counts what other hosts tell a restarted one from its start, although the
	// poll that its predecessor answered may go on.
	evidenceFromStart bool
	// askedVoterIsNotAwaited leaves out the permission of a host that was polled as a voter only.
	askedVoterIsNotAwaited bool
	// startsWhenBuilt takes the time at which a process was built for its start.
	startsWhenBuilt bool
}

// refusalHost is what one host knows. Times are in steps, and versions are those of the store.
type refusalHost struct {
	running, knowsClaim bool
	// started is when the host began to run, and built when the structures of its process were made.
	started, built int8
	// through is the version of the mirror, and listedSince that of the host's row.
	through, listedSince int8
	// claimsAsOf and relayed are when the claims were read and when the evidence of others was true.
	claimsAsOf, relayed int8
	// answered holds when each other host last answered.
	answered [refusalHosts]int8
}

// pollResult is what the poll of one host has led to.
type pollResult int8

const (
	pollOpen pollResult = iota
	pollAcknowledged
	pollRefused
)

// refusalPhase is how far the failover has come.
type refusalPhase int8

const (
	beforeListing refusalPhase = iota
	beforeClaim
	polling
	waiting
	beforePromotion
	promoted
	aborted
)

// refusalState is the state of the model. Host 0 holds the claim; host 1 may restart. States are
// compared, so that orders of events which lead to the same state are continued once.
type refusalState struct {
	phase refusalPhase
	now   int8
	// steps is how many steps, and jumps how many longer periods, may still pass between the events
	// of the poll.
	steps, jumps int8
	hosts        [refusalHosts]refusalHost
	// version is the newest version in the store.
	version int8
	// incarnation is that of host 1. removed and written are the versions at which its first row was
	// removed and at which the row of its second incarnation was written; 0 if they were not.
	incarnation, removed, written int8
	// users are the hosts that may use primaries as of the claim.
	users               [refusalHosts]bool
	polled              [refusalHosts]pollResult
	polledAt            [refusalHosts]int8
	claimedAt, listedAt int8
	promotedAt          int8
}

// refusalEvent is something that happens to a state. It returns false if it is not possible.
type refusalEvent struct {
	name string
	run  func(*refusalState) bool
}

// refusalEventAt is an event of an order.
type refusalEventAt struct {
	at   int8
	name string
}

// String implements fmt.Stringer.
func (e refusalEventAt) String() string {
	return fmt.Sprintf("%v: %s", time.Duration(e.at)*refusalStep, e.name)
}

// refusalModel enumerates all orders of a set of events around one claim. The decisions are those of
// controllers, into which the state of a host is loaded. A call and its answer are one event, since
// a late answer counts from the start of its call. Not modelled: changes of the electorate, hosts
// other than host 1 that restart, a removal of a row that some hosts have not learned of, and a
// holder that is paused.
type refusalModel struct {
	rules  refusalRules
	size   int
	origin time.Time
	hosts  []*controller
	// mirrors holds a mirror of each version.
	mirrors    []*rows.Table
	electorate electorate.Electorate
	// first are the rows of host 1 as members of the other hosts.
	first  []*member
	events []refusalEvent
	// orders holds for each state in how many orders events can follow.
	orders map[refusalState]uint64
	// order is the order that is being followed; violation is one that breaks the rule.
	order, violation []refusalEventAt
}

func newRefusalModel(size int, rules refusalRules) *refusalModel {
	// The permissions of the model are over for the timers of the controllers.
	m := &refusalModel{rules: rules, size: size, origin: time.Unix(-1_000_000, 0), orders: make(map[refusalState]uint64)}
	m.electorate = electorateOfFleet(size)
	m.hosts = controllersOfFleet(size, m.origin)
	for i, c := range m.hosts {
		for _, other := range c.members {
			other.Incarnation = 1
		}
		m.first = append(m.first, c.members["h1"])
		if i == 0 {
			// Every host has known of the removal for long, so that its version is of no account.
			c.removals.departures["h1"] = departure{at: m.at(refusalLongAgo)}
		}
	}
	for version := range 7 {
		mirror := rows.NewTable()
		mirror.Apply(nil, 0, uint64(version))
		m.mirrors = append(m.mirrors, mirror)
	}
	m.addEvents()
	return m
}

// at returns the time of a step.
func (m *refusalModel) at(step int8) time.Time {
	if step == refusalNever {
		return time.Time{}
	}
	return m.origin.Add(time.Duration(step) * refusalStep)
}

// step is the inverse of at.
func (m *refusalModel) step(at time.Time) int8 {
	if at.IsZero() {
		return refusalNever
	}
	return int8(at.Sub(m.origin) / refusalStep)
}

// firstRow returns the incarnation in the row of host 1 as of the version; 0 if it has none.
func (s *refusalState) firstRow(version int8) int8 {
	switch {
	case s.written > 0 && version >= s.written:
		return 2
	case version == 0 || s.removed > 0 && version >= s.removed:
		return 0
	}
	return 1
}

// advance makes the mirror of a host reach the version.
func (s *refusalState) advance(host int, version int8) {
	h := &s.hosts[host]
	if version <= h.through {
		return
	}
	if s.firstRow(version) != s.firstRow(h.through) {
		h.answered[1] = refusalNever
	}
	h.through = version
	if host != 1 {
		h.listedSince = 1
		return
	}
	switch row := s.firstRow(version); {
	case row == 0:
		h.listedSince = 0
	case h.listedSince == 0 && row == 2:
		h.listedSince = s.written
	case h.listedSince == 0:
		h.listedSince = 1
	}
}

// learn records that a host knows the claim. What else it knows makes no difference any more.
func (s *refusalState) learn(host int) {
	if host == 0 {
		return
	}
	s.hosts[host] = refusalHost{running: s.hosts[host].running, knowsClaim: true}
}

// list makes a host read the store.
func (s *refusalState) list(host int) {
	s.advance(host, s.version)
	s.hosts[host].claimsAsOf = s.now
	if s.phase >= polling {
		s.learn(host)
	}
}

// load puts the state of a host into its controller and computes its permission.
func (m *refusalModel) load(s *refusalState, host int) *controller {
	c, h := m.hosts[host], &s.hosts[host]
	c.startedAt = m.at(h.started)
	if m.rules.startsWhenBuilt {
		c.startedAt = m.at(h.built)
	}
	c.completeAsOf[TableState] = m.at(h.claimsAsOf)
	if m.rules.evidenceFromStart {
		if c.completeAsOf[TableState].Before(c.startedAt) {
			c.completeAsOf[TableState] = time.Time{}
		}
		c.startedAt = c.startedAt.Add(-longestFencePoll)
	}
	c.relayedEvidence, c.listedSinceVersion, c.tables[TableState] = m.at(h.relayed), uint64(h.listedSince), m.mirrors[h.through]
	row := s.firstRow(h.through)
	if host != 1 {
		delete(c.members, "h1")
		if row > 0 {
			c.members["h1"] = m.first[host]
			m.first[host].Incarnation = uint64(row)
		}
	}
	for _, member := range c.members {
		member.answeredAt = m.at(h.answered[member.Name[1]-'0'])
	}
	c.electorate.Electorate, c.electorate.ownAddress = m.electorate, c.gw.cfg.Host
	if h.through == 0 {
		c.electorate.Voters = nil
	}
	if host == 1 && row != s.incarnation {
		c.electorate.ownAddress = ""
	}
	c.resolveVoters()
	c.updatePermission()
	return c
}

// call makes a host call another one, which answers at once.
func (m *refusalModel) call(s *refusalState, from, to int) bool {
	caller, callee := &s.hosts[from], &s.hosts[to]
	if s.phase < polling || !caller.running || !callee.running {
		return false
	}
	if caller.knowsClaim || callee.knowsClaim {
		s.learn(from)
		s.learn(to)
		return true
	}
	s.advance(from, callee.through)
	if caller.through >= callee.through {
		caller.claimsAsOf = max(caller.claimsAsOf, callee.claimsAsOf)
	}
	answer := GossipMessage{
		Host: m.hosts[to].gw.cfg.Host, Incarnation: 1, MirrorVersions: map[TableName]uint64{TableState: uint64(callee.through)},
		EvidenceAge: m.load(s, to).evidenceAge(m.at(s.now)),
	}
	if to == 1 {
		answer.Incarnation = uint64(s.incarnation)
	}
	c := m.load(s, from)
	c.recordAnswer(answer, m.at(s.now))
	c.applyEvidence(answer, m.at(s.now))
	caller.relayed = m.step(c.relayedEvidence)
	if member := c.members[answer.Host]; member != nil {
		caller.answered[to] = m.step(member.answeredAt)
	}
	return true
}

// claim makes the holder write the claim and begin the poll.
func (m *refusalModel) claim(s *refusalState) bool {
	if s.phase != beforeClaim {
		return false
	}
	for _, address := range m.load(s, 0).primaryUsers(m.at(s.now)) {
		s.users[address[1]-'0'] = true
	}
	s.version++
	s.phase, s.claimedAt, s.hosts[0].knowsClaim = polling, s.now, true
	return true
}

// endPoll makes the holder decide after the poll whether and when it promotes.
func (m *refusalModel) endPoll(s *refusalState) bool {
	if s.phase != polling {
		return false
	}
	poll := hostPoll{own: "h0", asked: make(map[string]bool), replies: make(map[string]FenceReply), refused: make(map[string]bool), endedAt: make(map[string]time.Time)}
	counted := hostPoll{own: "h0", replies: make(map[string]FenceReply)}
	listed := s.listedAt != refusalNever
	complete := listed
	for host := 1; host < m.size; host++ {
		address := m.hosts[host].gw.cfg.Host
		poll.asked[address] = true
		switch s.polled[host] {
		case pollOpen:
			complete = false
		case pollAcknowledged:
			poll.replies[address], counted.replies[address] = FenceReply{}, FenceReply{}
		case pollRefused:
			poll.refused[address] = true
			if m.rules.refusalVotes {
				poll.replies[address] = FenceReply{}
			}
			if m.rules.refusalEndsWait {
				counted.replies[address] = FenceReply{}
			}
		}
		if s.polled[host] != pollOpen {
			poll.endedAt[address] = m.at(s.polledAt[host])
		}
		if m.rules.askedVoterIsNotAwaited && !s.users[host] {
			counted.replies[address] = FenceReply{}
		}
	}
	if !complete {
		s.now = max(s.now, s.claimedAt+refusalPoll)
	}
	c, left := m.load(s, 0), noneLeft
	if listed {
		left = c.leftVoters()
	}
	if !poll.quorum(c.electorate.Electorate, left) {
		s.phase = aborted
		return true
	}
	promotedAt := s.now
	if !listed || !c.accountedFor(&counted, c.electorate.Electorate, 0, m.at(s.now)) {
		promotedAt = max(s.now, m.step(poll.quorumAt(c.electorate.Electorate, left, m.at(s.listedAt)))+refusalLease)
	}
	// What led to the decision makes no difference any more.
	*s = refusalState{phase: waiting, now: s.now, promotedAt: promotedAt, hosts: s.hosts, version: s.version, incarnation: s.incarnation, removed: s.removed, written: s.written}
	s.hosts[0] = refusalHost{running: true, knowsClaim: true}
	return true
}

// addEvents adds the events of which all orders are enumerated.
func (m *refusalModel) addEvents() {
	add := func(name string, run func(*refusalState) bool) {
		m.events = append(m.events, refusalEvent{name: name, run: run})
	}
	pass := func(left *int8, s *refusalState, steps int8) bool {
		if *left == 0 || s.phase != polling {
			return false
		}
		*left--
		s.now += steps
		return true
	}
	add("a step passes", func(s *refusalState) bool { return pass(&s.steps, s, 1) })
	add("most of a poll passes", func(s *refusalState) bool { return pass(&s.jumps, s, refusalPoll-1) })
	add("0 lists the hosts", func(s *refusalState) bool {
		s.list(0)
		s.phase++
		return s.phase == beforeClaim
	})
	add("0 writes the claim", m.claim)
	add("0 lists the hosts again", func(s *refusalState) bool {
		if s.phase != polling || s.listedAt != refusalNever {
			return false
		}
		s.advance(0, s.version)
		s.listedAt = s.now
		return true
	})
	add("the poll ends", m.endPoll)
	add("the wait is almost over", func(s *refusalState) bool {
		possible := s.phase == waiting && s.promotedAt > s.now
		s.phase, s.now = beforePromotion, s.promotedAt-1
		return possible
	})
	add("the promotion takes effect", func(s *refusalState) bool {
		possible := s.phase == waiting && s.promotedAt == s.now || s.phase == beforePromotion
		s.phase, s.now = promoted, s.promotedAt
		return possible
	})
	for host := 1; host < m.size; host++ {
		end := func(result pollResult) func(*refusalState) bool {
			return func(s *refusalState) bool {
				// The last step of the poll is for answers that arrive.
				if s.phase != polling || s.polled[host] != pollOpen || s.now >= s.claimedAt+refusalPoll {
					return false
				}
				s.polled[host], s.polledAt[host] = result, s.now
				if result == pollAcknowledged {
					s.learn(host)
					return s.hosts[host].running
				}
				return true
			}
		}
		add(fmt.Sprintf("%d acknowledges", host), end(pollAcknowledged))
		// Larger fleets have fewer events, so that their orders are enumerated in time.
		if host == 1 || m.size == 3 {
			add(fmt.Sprintf("%d refuses the connection", host), end(pollRefused))
		}
	}
	add("1 is killed", func(s *refusalState) bool {
		possible := s.phase == polling && s.hosts[1].running && s.incarnation == 1
		s.hosts[1], s.incarnation = newRefusalHost(refusalNever), 2
		return possible
	})
	add("1 starts", func(s *refusalState) bool {
		possible := !s.hosts[1].running && s.incarnation == 2 && (s.phase != waiting || s.now < s.promotedAt) && s.phase != beforePromotion
		// What happened before in the same step was earlier.
		s.now++
		s.hosts[1] = newRefusalHost(s.now)
		return possible
	})
	add("1 reads the store", func(s *refusalState) bool {
		s.list(1)
		return s.hosts[1].running && (m.size == 3 || s.removed > 0 && s.phase < waiting)
	})
	add("1 writes its row", func(s *refusalState) bool {
		h := &s.hosts[1]
		if !h.running || s.phase > polling || s.incarnation == 1 || s.written > 0 || h.claimsAsOf < h.started {
			return false
		}
		s.version++
		s.written = s.version
		if h.listedSince == 0 {
			h.listedSince = s.written
		}
		return true
	})
	for _, calls := range m.calls() {
		from, to := calls[0], calls[1:]
		add(fmt.Sprintf("%d calls %v", from, to), func(s *refusalState) bool {
			for _, host := range to {
				if !m.call(s, from, host) {
					return false
				}
			}
			return true
		})
	}
}

// calls returns which host calls which others in one event. Hosts 3 and 4 are alike.
func (m *refusalModel) calls() [][]int {
	if m.size == 3 {
		return [][]int{{1, 0}, {1, 2}, {2, 0}, {2, 1}}
	}
	return [][]int{{1, 2}, {1, 3, 4}, {2, 1}, {2, 3, 4}}
}

// newRefusalHost returns a host that begins to run at the given step. Its process was built before.
func newRefusalHost(started int8) refusalHost {
	h := refusalHost{running: started != refusalNever, started: started, claimsAsOf: refusalNever, relayed: refusalNever}
	h.built = max(started, refusalLongAgo) - refusalPoll - refusalLease/2
	for i := range h.answered {
		h.answered[i] = refusalNever
	}
	return h
}

// initial returns the state before the claim, as of which all hosts have read the store. If left is
// true, host 1 has removed its row and has stopped.
func (m *refusalModel) initial(left bool) refusalState {
	s := refusalState{version: 1, incarnation: 1, jumps: 1, listedAt: refusalNever}
	if m.size == 3 {
		s.steps = 1
	}
	if left {
		s.version, s.removed, s.incarnation = 2, 2, 2
	}
	for i := range m.size {
		s.hosts[i] = newRefusalHost(refusalLongAgo)
		s.advance(i, s.version)
		s.hosts[i].claimsAsOf = 0
	}
	if left {
		s.hosts[1] = newRefusalHost(refusalNever)
	}
	return s
}

// enumerate follows all orders of events from the state until none changes anything any more, and
// returns how many there are. It stops at the first violation.
func (m *refusalModel) enumerate(s refusalState) uint64 {
	if count, known := m.orders[s]; known {
		return count
	}
	if s.phase == promoted {
		for i := 1; i < m.size; i++ {
			if s.hosts[i].running && !s.hosts[i].knowsClaim && m.load(&s, i).permittedUntil.After(m.at(s.now)) {
				m.violation = slices.Clone(m.order)
				return 1
			}
		}
	}
	count := uint64(0)
	for _, e := range m.events {
		next := s
		if s.phase == aborted || !e.run(&next) || next == s {
			continue
		}
		m.order = append(m.order, refusalEventAt{at: next.now, name: e.name})
		count += m.enumerate(next)
		m.order = m.order[:len(m.order)-1]
		if m.violation != nil {
			return count
		}
	}
	m.orders[s] = max(count, 1)
	return m.orders[s]
}

// run enumerates the orders from all initial states.
func (m *refusalModel) run() (orders uint64) {
	for _, left := range []bool{false, true} {
		if m.violation == nil {
			orders += m.enumerate(m.initial(left))
		}
	}
	return orders
}

// Guards against a host that has a permission for the old primary after the promotion and does not
// know the claim, in any order of the events of the model (issue 42).
func TestRefusalModelGivesNoPermissionAfterPromotion(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{3, refusalHosts} {
		m := newRefusalModel(size, refusalRules{})
		orders := m.run()
		t.Logf("%d hosts: %d orders of events, %d states", size, orders, len(m.orders))
		g.Expect(m.violation).To(BeEmpty(), "%d hosts: %v", size, m.violation)
	}
}

// Guards against a model that misses the failures against which the rules of a failover protect: with
// any rule switched off, it must find an order after which a host may use the replaced primary.
func TestRefusalModelNeedsEveryRule(t *testing.T) {
	both := []int{3, refusalHosts}
	for _, rule := range []struct {
		name  string
		off   refusalRules
		sizes []int
	}{
		{"a refused connection is no vote", refusalRules{refusalVotes: true}, both},
		{"a refused connection does not shorten the wait", refusalRules{refusalEndsWait: true}, both},
		// Of three hosts, those that have not acknowledged the claim are no majority without the
		// restarted one.
		{"answers and evidence count from the end of the longest poll", refusalRules{evidenceFromStart: true}, []int{refusalHosts}},
		{"a host listed during the poll is waited for", refusalRules{askedVoterIsNotAwaited: true}, both},
		{"a host starts when it begins to run", refusalRules{startsWhenBuilt: true}, both},
	} {
		for _, size := range rule.sizes {
			t.Run(fmt.Sprintf("%s/%d hosts", rule.name, size), func(t *testing.T) {
				g := NewWithT(t)
				m := newRefusalModel(size, rule.off)
				orders := m.run()
				g.Expect(m.violation).NotTo(BeEmpty(), "none of %d orders breaks the rule", orders)
				t.Logf("found after %d orders: %v", orders, m.violation)
			})
		}
	}
}
