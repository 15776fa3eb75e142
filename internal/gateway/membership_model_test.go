package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// membershipModel runs the gossip of a few hosts in simulated time while hosts join, stop,
// restart and are removed, the electorate follows them, a network partition separates some
// hosts from the others, some hosts lose the store, and one claim is written and acknowledged.
type membershipModel struct {
	random *rand.Rand
	start  time.Time
	now    time.Time
	store  *rows.Table
	hosts  map[string]*controller
	// separated holds the hosts on the side of the partition on which nobody claims, and
	// withoutStore those that do not reach the store. Both apply from partitionedAt.
	separated, withoutStore map[string]bool
	partitionedAt           time.Time
	claimedAt               time.Time
	// claim is the claim once it is written, and voters the electorate as of its write.
	claim  FenceState
	voters electorate.Electorate
	holder string
	// agreedAt holds when a host acknowledged the claim.
	agreedAt   map[string]time.Time
	promotedAt time.Time
	answers    []modelAnswerTo
	joined     int
	// losing is true if hosts are lost for good, and the electorate changes without a quorum; aged
	// counts the changes that were completed by their age. lost holds the hosts that have ended, and
	// electorates the version of the electorate that each controller knew last.
	losing      bool
	aged        int
	lost        map[string]bool
	electorates map[*controller]uint64
}

// modelAnswerTo is an answer on its way to a controller, which is replaced at a restart.
type modelAnswerTo struct {
	to      *controller
	message GossipMessage
	began   time.Time
	arrives time.Time
}

func newMembershipModel(seed uint64, size int) *membershipModel {
	m := &membershipModel{
		random: rand.New(rand.NewPCG(seed, 4)), start: boottime.Now(), store: rows.NewTable(),
		hosts: make(map[string]*controller), separated: make(map[string]bool), withoutStore: make(map[string]bool), agreedAt: make(map[string]time.Time),
		lost: make(map[string]bool), electorates: make(map[*controller]uint64),
	}
	m.now = m.start
	for range size {
		m.join()
	}
	m.write(electorateKey, encodeRecord(electorateRecord{Electorate: electorate.New(slices.Collect(maps.Keys(m.hosts)), nil)}))
	for name, c := range m.hosts {
		m.list(name)
		c.markComplete(TableState, m.now)
	}
	for _, name := range m.names() {
		m.separated[name] = m.random.IntN(2) == 0
		m.withoutStore[name] = m.random.IntN(5) < 3
	}
	m.partitionedAt = m.start.Add(time.Duration(m.random.Int64N(int64(500 * time.Millisecond))))
	m.claimedAt = m.partitionedAt.Add(time.Duration(m.random.Int64N(int64(2 * time.Second))))
	return m
}

// newLossModel returns a model in which hosts are lost for good. The hosts that are separated from the
// others answer each other, mostly without the store, for longer than a horizon.
func newLossModel(seed uint64, size int) *membershipModel {
	m := newMembershipModel(seed, size)
	m.losing = true
	m.claimedAt = m.partitionedAt.Add(time.Duration(m.random.Int64N(int64(2 * permission.MajorityHorizon))))
	for _, name := range m.names() {
		m.separated[name] = m.random.IntN(3) > 0
		m.withoutStore[name] = m.separated[name] && m.random.IntN(20) > 0
	}
	return m
}

// names returns the names of the hosts that are not lost in a fixed order.
func (m *membershipModel) names() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(m.hosts)), func(name string) bool { return m.lost[name] })
}

// anyHost returns a random host.
func (m *membershipModel) anyHost() string {
	names := m.names()
	return names[m.random.IntN(len(names))]
}

// cutOff reports whether the host cannot reach the holder of the claim.
func (m *membershipModel) cutOff(name string) bool {
	return m.separated[name] && m.now.After(m.partitionedAt)
}

// reachesStore reports whether the host reaches the store.
func (m *membershipModel) reachesStore(name string) bool {
	return !m.withoutStore[name] || m.now.Before(m.partitionedAt)
}

// write writes a row of the store; nil removes it.
func (m *membershipModel) write(key string, value []byte) uint64 {
	version := m.store.Through() + 1
	m.store.Apply([]rows.Row{{Key: key, Version: version, Value: value, Deleted: value == nil}}, version-1, version)
	return version
}

// list applies a listing of the store to the mirror of a host. A host that has seen the claim
// there knows it.
func (m *membershipModel) list(name string) {
	c := m.hosts[name]
	c.applyListing(TableState, Listing{Rows: m.store.Live(), Version: m.store.Through()})
	m.dateElectorate(c)
	if m.claim.Version > 0 {
		c.gw.group("g").setFence(m.claim, m.now)
	}
}

// dateElectorate makes the age of an electorate that is new to the controller count by simulated time.
func (m *membershipModel) dateElectorate(c *controller) {
	if version := c.electorate.version; m.electorates[c] != version {
		m.electorates[c], c.electorate.inForceSince = version, m.now
	}
}

// run starts a host without a row.
func (m *membershipModel) run(name string) {
	c := newController(New(Config{Host: name, Address: name, AvailabilityZone: "z", Metrics: metrics.NewRegistry()}))
	c.gw.currentGroups.Store(&map[string]*group{"g": newGroup("g", c.gw.pool)})
	c.startedAt = m.now
	m.hosts[name] = c
}

// register writes the row of a host that has read the store.
func (m *membershipModel) register(name string) {
	if !m.reachesStore(name) {
		return
	}
	m.list(name)
	c := m.hosts[name]
	c.recordListing(m.write(hostPrefix+name, encodeRecord(hostRecord{Name: name, Address: name, Incarnation: c.incarnation, HorizonKnown: true})))
}

// join adds a host, which reaches the store and the holder of the claim.
func (m *membershipModel) join() {
	m.joined++
	name := fmt.Sprintf("h%02d", m.joined)
	m.run(name)
	m.register(name)
}

// restart replaces a host's process, which loses its memory, also of a claim that it has
// acknowledged. It registers if it reaches the store.
func (m *membershipModel) restart(name string) {
	m.run(name)
	m.register(name)
}

// stop makes a host remove its row. Its process goes on answering until it is restarted.
func (m *membershipModel) stop(name string) {
	if c := m.hosts[name]; m.reachesStore(name) && c.electorate.ownAddress != "" {
		c.unregistering = true
		c.updatePermission()
		m.write(hostPrefix+name, nil)
	}
}

// maintain makes a host change the electorate to random hosts, complete a change, or remove
// the row of a host that is no voter.
func (m *membershipModel) maintain(name string) {
	c := m.hosts[name]
	if !m.reachesStore(name) || c.unregistering {
		return
	}
	m.list(name)
	e, listed := c.electorate.Electorate, c.listedAddresses()
	addresses := slices.Sorted(maps.Keys(listed))
	switch victim := addresses[m.random.IntN(len(addresses))]; {
	case e.MayComplete(c.voteOnChange(listed)):
		m.write(electorateKey, encodeRecord(electorateRecord{Electorate: e.Complete()}))
	case m.losing && c.mayCompleteWithoutQuorum(m.now, listed):
		m.aged++
		m.write(electorateKey, encodeRecord(electorateRecord{Electorate: e.Complete()}))
	case m.losing && e.Changing():
	case m.losing && !m.separated[name]:
		desired := slices.DeleteFunc(addresses, func(address string) bool { return m.separated[address] || m.lost[address] || m.random.IntN(4) == 0 })
		m.write(electorateKey, encodeRecord(electorateRecord{Electorate: e.Change(append(desired, name)), Unconfirmed: true}))
	case !e.Includes(victim):
		m.write(hostPrefix+victim, nil)
	case !e.Changing() || m.random.IntN(4) == 0:
		desired := slices.DeleteFunc(addresses, func(string) bool { return m.random.IntN(4) == 0 })
		m.write(electorateKey, encodeRecord(electorateRecord{Electorate: e.Change(append(desired, name))}))
	}
}

// claimAndFence writes the claim, and then lets a host acknowledge it. The promotion follows
// permission.Duration after a quorum.
func (m *membershipModel) claimAndFence(name string) {
	if m.now.Before(m.claimedAt) || m.cutOff(name) || m.claim.Version == 0 && !m.reachesStore(name) {
		return
	}
	if m.claim.Version == 0 {
		m.list(name)
		m.holder = name
		m.voters = m.hosts[name].decidingVoters()
		m.claim = FenceState{Term: 1, Version: m.write(claimPrefix+"g", encodeRecord(claimRecord{Holder: name, Term: 1}))}
	}
	m.hosts[name].gw.group("g").setFence(m.claim, m.now)
	m.agreedAt[name] = m.now
	poll := hostPoll{replies: make(map[string]FenceReply)}
	for host := range m.agreedAt {
		poll.replies[host] = FenceReply{}
	}
	if !m.reachesStore(m.holder) {
		return
	}
	m.list(m.holder)
	if left := m.hosts[m.holder].leftVoters(); m.promotedAt.IsZero() && poll.quorum(m.voters, left) {
		m.promotedAt = m.now.Add(permission.Duration)
	}
}

// call makes a host call another one. The answer may be delayed or lost.
func (m *membershipModel) call() {
	from, to := m.anyHost(), m.anyHost()
	if from == to || m.random.IntN(5) == 0 || m.cutOff(from) != m.cutOff(to) {
		return
	}
	caller := m.hosts[from]
	versions := map[TableName]uint64{TableState: caller.tables[TableState].Through()}
	if m.random.IntN(8) == 0 {
		// The answer does not hold the rows that the caller lacks.
		versions = nil
	}
	m.hosts[to].applyGossip(caller.gossipMessage(m.now, nil), time.Time{})
	m.dateElectorate(m.hosts[to])
	m.answers = append(m.answers, modelAnswerTo{
		to: caller, began: m.now.Add(-time.Duration(m.random.Int64N(int64(100 * time.Millisecond)))),
		message: m.hosts[to].gossipMessage(m.now, versions),
		arrives: m.now.Add(time.Duration(m.random.Int64N(int64(300 * time.Millisecond)))),
	})
}

// deliver applies the answers that have arrived, in random order.
func (m *membershipModel) deliver() {
	m.random.Shuffle(len(m.answers), func(i, j int) { m.answers[i], m.answers[j] = m.answers[j], m.answers[i] })
	var waiting []modelAnswerTo
	for _, a := range m.answers {
		if a.arrives.After(m.now) {
			waiting = append(waiting, a)
			continue
		}
		a.to.applyGossip(a.message, a.began)
		m.dateElectorate(a.to)
	}
	m.answers = waiting
}

// step lets a random time pass and makes something happen.
func (m *membershipModel) step() {
	m.now = m.now.Add(time.Duration(m.random.Int64N(int64(30 * time.Millisecond))))
	m.deliver()
	name := m.anyHost()
	r := m.random.IntN(100)
	if m.losing && r < 5 && m.random.IntN(10) > 0 {
		// Hosts on both sides need some quiet for a horizon to matter.
		r = 99
	}
	switch {
	case m.losing && r == 0 && len(m.names()) > 2:
		m.lost[name] = true
	case r < 2 && len(m.hosts) < 12:
		m.join()
	case r < 4:
		m.restart(name)
	case r < 5:
		m.stop(name)
	case r < 10:
		m.maintain(name)
	case r < 18:
		m.claimAndFence(name)
	case r < 20 && m.reachesStore(name):
		m.list(name)
		m.hosts[name].markComplete(TableState, m.now)
	default:
		m.call()
	}
}

// Guards against a host that uses a primary after its replacement because the majority that
// answers it and the one that acknowledged the claim have no host in common: hosts have
// joined, stopped, restarted or been removed meanwhile (review case 1).
func TestChangesOfMembershipGiveNoPermissionAfterPromotion(t *testing.T) {
	g := NewWithT(t)
	const seeds, steps = 500, 400
	// stoppedHostSeed failed while a host that had removed its row still counted itself.
	const stoppedHostSeed = 1145
	permitted, promoted := 0, 0
	for n := range uint64(seeds) + 1 {
		seed := n
		if n == seeds {
			seed = stoppedHostSeed
		}
		m := newMembershipModel(seed, 3+int(seed%5))
		played, after := m.play(g, seed, steps)
		permitted += played
		promoted += after
	}
	g.Expect(permitted).To(BeNumerically(">", seeds*steps))
	g.Expect(promoted).To(BeNumerically(">", seeds*5))
}

// play plays steps and expects that no host may use the primary after its promotion without knowing
// the claim. It returns how often a host was permitted, and the number of steps after the promotion.
func (m *membershipModel) play(g *WithT, seed uint64, steps int) (permitted, promoted int) {
	for range steps {
		m.step()
		after := !m.promotedAt.IsZero() && !m.now.Before(m.promotedAt)
		if after {
			promoted++
		}
		for _, name := range m.names() {
			c := m.hosts[name]
			if !c.gw.primaryPermitted(m.now) {
				continue
			}
			permitted++
			knows := c.gw.group("g").fence.Version == m.claim.Version
			if after && !knows {
				g.Expect(knows).To(BeTrue(), "seed %d: host %s at %v, claimed at %v, promoted at %v", seed, name, m.now.Sub(m.start), m.claimedAt.Sub(m.start), m.promotedAt.Sub(m.start))
			}
		}
	}
	return permitted, promoted
}

// Guards against a host that uses a primary after its replacement because the voters on its side, which
// are cut off, were taken for lost and dropped too early, or because evidence that is passed on outlasts
// the horizon of the host that gave it.
func TestLossOfHostsGivesNoPermissionAfterPromotion(t *testing.T) {
	g := NewWithT(t)
	const seeds, steps = 30, 2400
	permitted, promoted, aged := 0, 0, 0
	for seed := range uint64(seeds) {
		m := newLossModel(seed, 3+int(seed%5))
		played, after := m.play(g, seed, steps)
		permitted += played
		promoted += after
		aged += m.aged
	}
	g.Expect(permitted).To(BeNumerically(">", seeds*steps))
	g.Expect(promoted).To(BeNumerically(">", seeds*steps/8))
	g.Expect(aged).To(BeNumerically(">", seeds/4))
}
