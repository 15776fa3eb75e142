package electorate_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
)

const (
	// lossModelStep is the time between two rounds of the lossModel, in which hosts read the store
	// and call each other.
	lossModelStep = 250 * time.Millisecond
	// lossModelSilence is for how long no quorum answers before voters are dropped without one.
	lossModelSilence = time.Second
)

// lossModel plays hosts that are cut off from each other or from the store, restarted, added, or lost
// for good, while the electorate changes with and without a quorum and claims are acknowledged.
type lossModel struct {
	random *rand.Rand
	now    time.Time
	hosts  []*lossHost
	// version is the newest version of the store. records holds the electorates by version.
	version    uint64
	records    map[uint64]electorate.Electorate
	electorate uint64
	// promoted is the version of the newest claim that has led to a promotion.
	promoted uint64
	// claimed is the newest claim, to be followed by a promotion at promoteAt; zero if none is.
	claimed   uint64
	promoteAt time.Time
	// aged counts the changes that were completed without a quorum, promotions those that followed.
	aged, promotions int
	calm             bool
}

// lossHost is one host.
type lossHost struct {
	name string
	lost bool
	// side is the part of the network that the host is in; store says whether it reaches the store.
	side  int
	store bool
	// known is the version up to which the host knows the store, as of storedAsOf.
	known      uint64
	storedAsOf time.Time
	// answered and told hold when other hosts answered, and which version they knew.
	answered map[string]time.Time
	told     map[string]uint64
	// electorate is the newest electorate that the host knows, since electorateSince.
	electorate      uint64
	electorateSince time.Time
	silentSince     time.Time
}

func newLossModel(seed uint64) *lossModel {
	m := &lossModel{random: rand.New(rand.NewPCG(seed, 8)), now: time.Unix(1000, 0), records: make(map[uint64]electorate.Electorate)}
	var voters []string
	for range 2 + m.random.IntN(8) {
		voters = append(voters, m.add().name)
	}
	m.writeElectorate(electorate.New(voters, nil))
	for _, h := range m.hosts {
		m.read(h)
	}
	return m
}

func (m *lossModel) add() *lossHost {
	h := &lossHost{name: fmt.Sprintf("h%02d", len(m.hosts)), store: true, answered: make(map[string]time.Time), told: make(map[string]uint64)}
	m.hosts = append(m.hosts, h)
	return h
}

func (m *lossModel) writeElectorate(e electorate.Electorate) {
	m.version++
	m.records[m.version], m.electorate = e, m.version
}

// learn gives a host the rows up to the version.
func (m *lossModel) learn(h *lossHost, version uint64) {
	if version <= h.known {
		return
	}
	h.known = version
	for at := range m.records {
		if at <= version && at > h.electorate {
			h.electorate, h.electorateSince, h.silentSince = at, m.now, time.Time{}
		}
	}
}

func (m *lossModel) read(h *lossHost) {
	m.learn(h, m.version)
	h.storedAsOf = m.now
}

// reaches reports whether two hosts can call each other.
func (m *lossModel) reaches(a, b *lossHost) bool {
	return a != b && !a.lost && !b.lost && a.side == b.side
}

// call lets a host ask another one.
func (m *lossModel) call(from, to *lossHost) {
	m.learn(from, to.known)
	if to.storedAsOf.After(from.storedAsOf) {
		from.storedAsOf = to.storedAsOf
	}
	from.answered[to.name], from.told[to.name] = m.now, to.known
}

// permittedUntil returns until when the host may use the primary.
func (m *lossModel) permittedUntil(h *lossHost) time.Time {
	var sets []permission.Voters
	for _, set := range m.records[h.electorate].Sets() {
		var v permission.Voters
		for _, name := range set {
			if name == h.name {
				v.Self = true
				continue
			}
			v.Answered = append(v.Answered, h.answered[name])
		}
		sets = append(sets, v)
	}
	return permission.Until(h.storedAsOf, h.storedAsOf, sets...)
}

// votes returns a vote of the hosts that meet the condition.
func (m *lossModel) votes(condition func(h *lossHost) bool) func(string) electorate.Vote {
	return func(name string) electorate.Vote {
		for _, h := range m.hosts {
			if h.name == name && condition(h) {
				return electorate.VoteAgrees
			}
		}
		return electorate.VoteMissing
	}
}

// maintain lets a host change the electorate. It writes on the condition that it knows the newest one.
func (m *lossModel) maintain(h *lossHost) {
	if !h.store || h.electorate != m.electorate || h.known == 0 {
		return
	}
	e := m.records[m.electorate]
	age := m.now.Sub(h.electorateSince)
	answers := func(o *lossHost) bool { return o == h || m.reaches(h, o) && o.known > 0 }
	knows := m.votes(func(o *lossHost) bool { return o == h || h.told[o.name] >= m.electorate })
	var reachable []string
	for _, o := range m.hosts {
		if answers(o) {
			reachable = append(reachable, o.name)
		}
	}
	quorum := e.Completed().Quorum(m.votes(answers))
	lasts := electorate.New(e.Voters, nil).Quorum(m.votes(answers))
	switch {
	case quorum:
		h.silentSince = time.Time{}
	case h.silentSince.IsZero():
		h.silentSince = m.now
	}
	switch {
	case e.MayComplete(knows) && lasts:
		m.writeElectorate(e.Complete())
	case e.MayCompleteAt(age, knows) && lasts:
		m.aged++
		m.writeElectorate(e.Complete())
	case quorum && !slices.Equal(e.Voters, electorate.New(reachable, nil).Voters) && (!e.Changing() || age > 2*time.Second):
		m.writeElectorate(e.Change(reachable))
	case !quorum && (!e.Changing() || !lasts) && m.now.Sub(h.silentSince) >= lossModelSilence:
		m.writeElectorate(e.Change(reachable))
	}
}

// claim lets a host claim, and promotes the successor after the wait if a quorum has acknowledged.
func (m *lossModel) claim(h *lossHost) {
	if !h.store || h.electorate != m.electorate || m.claimed != 0 {
		return
	}
	m.version++
	m.learn(h, m.version)
	for _, o := range m.hosts {
		if m.reaches(h, o) && o.known > 0 && m.random.IntN(4) > 0 {
			m.learn(o, m.version)
		}
	}
	if m.records[m.electorate].Quorum(m.votes(func(o *lossHost) bool { return o.known >= m.version })) {
		m.claimed, m.promoteAt = m.version, m.now.Add(permission.Duration)
	}
}

// disturb changes what works. Long spans between two changes let horizons pass.
func (m *lossModel) disturb() {
	h := m.hosts[m.random.IntN(len(m.hosts))]
	switch m.random.IntN(10) {
	case 0, 1:
		h.lost = true
	case 2:
		if len(m.hosts) < 14 {
			m.add().side = h.side
		}
	case 3:
		// A restarted host knows nothing before it has read the store.
		h.known, h.electorate, h.storedAsOf = 0, 0, time.Time{}
		h.answered, h.told = make(map[string]time.Time), make(map[string]uint64)
	case 4, 5:
		for _, o := range m.hosts {
			o.side, o.store = m.random.IntN(2), m.random.IntN(3) > 0
		}
	case 6:
		// Some hosts are cut off together, from the others and the store.
		for _, o := range m.hosts {
			o.side, o.store = 0, true
			if m.random.IntN(2) == 0 {
				o.side, o.store = 1, false
			}
		}
	case 7:
		for _, o := range m.hosts {
			o.store = false
		}
	default:
		for _, o := range m.hosts {
			o.side, o.store = 0, true
		}
	}
}

// step plays one round.
func (m *lossModel) step() {
	m.now = m.now.Add(lossModelStep)
	if !m.calm && m.random.IntN(40) == 0 {
		m.disturb()
	}
	for _, n := range m.random.Perm(len(m.hosts)) {
		h := m.hosts[n]
		if h.lost {
			continue
		}
		if h.store && m.random.IntN(2) == 0 {
			m.read(h)
		}
		for _, o := range m.hosts {
			if h.known > 0 && o.known > 0 && m.reaches(h, o) && m.random.IntN(5) > 0 {
				m.call(h, o)
			}
		}
		m.maintain(h)
		if m.random.IntN(30) == 0 {
			m.claim(h)
		}
	}
	if m.claimed != 0 && !m.now.Before(m.promoteAt) {
		m.promoted, m.claimed = m.claimed, 0
		m.promotions++
	}
}

// Guards against voters that are dropped without a quorum while they still renew each other's
// permission: they use the old primary after a promotion (review case 1), and against voters that are
// lost for good and never dropped, so that no primary can be replaced any more (review case 10).
func TestLossOfVotersForGood(t *testing.T) {
	g := NewWithT(t)
	const (
		seeds = 250
		// rounds is how many rounds the disturbances last: 30 s, or more than FullHorizon in every
		// tenth run.
		rounds     = 120
		longRounds = 1600
		// recovery is how long a quorum may be missing once the hosts that are left reach each other
		// and the store: two changes by age, as voters may be lost while the first one waits.
		recovery = 2*(permission.MajorityHorizon+permission.HorizonDrift) + 10*time.Second
	)
	aged, promotions := 0, 0
	for seed := range uint64(seeds) {
		m := newLossModel(seed)
		play := func(rounds int) {
			for range rounds {
				m.step()
				for _, h := range m.hosts {
					if !h.lost && h.known < m.promoted && m.permittedUntil(h).After(m.now) {
						g.Expect(h.known).To(BeNumerically(">=", m.promoted), "seed %d: %s at %v may use the primary that claim %d has replaced", seed, h.name, m.now.Sub(time.Unix(1000, 0)), m.promoted)
					}
				}
			}
		}
		if seed%10 == 0 {
			play(longRounds)
		}
		play(rounds)
		m.calm, m.hosts[0].lost = true, true
		m.add()
		for _, h := range m.hosts {
			h.side, h.store = 0, true
		}
		lost := m.votes(func(h *lossHost) bool { return !h.lost })
		limit := recovery
		if permission.Horizon(len(m.records[m.electorate].InForce()), m.agreeing(lost)) > permission.MajorityHorizon+permission.HorizonDrift {
			limit = 2*permission.FullHorizon + recovery
		}
		play(int(limit / lossModelStep))
		e := m.records[m.electorate]
		g.Expect(e.Quorum(lost)).To(BeTrue(), "seed %d: no quorum of %v is left", seed, e)
		aged += m.aged
		promotions += m.promotions
	}
	g.Expect(aged).To(BeNumerically(">", seeds/5))
	g.Expect(promotions).To(BeNumerically(">", 10*seeds))
}

// agreeing returns how many of the voters in force agree.
func (m *lossModel) agreeing(vote func(string) electorate.Vote) int {
	n := 0
	for _, name := range m.records[m.electorate].InForce() {
		if vote(name) == electorate.VoteAgrees {
			n++
		}
	}
	return n
}
