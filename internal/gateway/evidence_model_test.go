package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// evidenceModel runs the gossip of a few hosts in simulated time, with lost and delayed
// answers and a network partition, while one claim is written and acknowledged.
type evidenceModel struct {
	random *rand.Rand
	start  time.Time
	now    time.Time
	hosts  []*controller
	// minority is the number of hosts on the smaller side of the partition, which begins
	// at partitionedAt. The store and the holder of the claim are on the other side.
	minority      int
	partitionedAt time.Time
	// claimedAt is when the claim was written; acknowledged holds the hosts that have
	// acknowledged it.
	claimedAt    time.Time
	acknowledged map[int]bool
	// promotedAt is when the promotion takes effect; zero while no majority has
	// acknowledged the claim.
	promotedAt time.Time
	// answers are gossip answers on their way.
	answers []modelAnswer
}

// modelAnswer is an answer to a call that the host made at began.
type modelAnswer struct {
	host    int
	message GossipMessage
	began   time.Time
	arrives time.Time
}

const modelClaimVersion = 100

func newEvidenceModel(seed uint64, size int) *evidenceModel {
	m := &evidenceModel{random: rand.New(rand.NewPCG(seed, 1)), start: boottime.Now(), acknowledged: make(map[int]bool)}
	m.now = m.start
	m.hosts = controllersOfFleet(size, m.start)
	for _, c := range m.hosts {
		c.gw.currentGroups.Store(&map[string]*group{"g": newGroup("g", c.gw.pool)})
		c.gw.group("g").setPrimary(1, "e1", logpos.Position{Term: 1})
		c.tables[TableState].Apply(nil, 0, 7)
		c.listedSinceVersion = 3
		c.updatePermission()
	}
	m.minority = m.random.IntN(size/2 + 1)
	m.partitionedAt = m.start.Add(time.Duration(m.random.Int64N(int64(2 * time.Second))))
	m.claimedAt = m.start.Add(time.Duration(m.random.Int64N(int64(2 * time.Second))))
	return m
}

// separated reports whether the host is on the minority side of the partition.
func (m *evidenceModel) separated(host int) bool {
	return host < m.minority && m.now.After(m.partitionedAt)
}

// learnClaim makes the host know the claim.
func (m *evidenceModel) learnClaim(host int) {
	m.hosts[host].gw.group("g").setFence(FenceState{Term: 1, Version: modelClaimVersion}, m.now)
}

func (m *evidenceModel) knowsClaim(host int) bool {
	return m.hosts[host].gw.group("g").fence.Version == modelClaimVersion
}

// call makes a host call another one. The answer is composed now or later and may be
// delayed or lost.
func (m *evidenceModel) call() {
	from, to := m.random.IntN(len(m.hosts)), m.random.IntN(len(m.hosts))
	if from == to || m.random.IntN(4) == 0 || m.separated(from) != m.separated(to) {
		return
	}
	began := m.now.Add(-time.Duration(m.random.Int64N(int64(300 * time.Millisecond))))
	m.answers = append(m.answers, modelAnswer{
		host: from, began: began, message: m.hosts[to].gossipMessage(m.now, nil),
		arrives: m.now.Add(time.Duration(m.random.Int64N(int64(400 * time.Millisecond)))),
	})
}

// deliver applies the answers that have arrived, in random order.
func (m *evidenceModel) deliver() {
	m.random.Shuffle(len(m.answers), func(i, j int) { m.answers[i], m.answers[j] = m.answers[j], m.answers[i] })
	var waiting []modelAnswer
	for _, a := range m.answers {
		if a.arrives.After(m.now) {
			waiting = append(waiting, a)
			continue
		}
		m.hosts[a.host].applyGossip(a.message, a.began)
	}
	m.answers = waiting
}

// readClaims makes a host read the claims from the store.
func (m *evidenceModel) readClaims() {
	host := m.random.IntN(len(m.hosts))
	if m.separated(host) {
		return
	}
	if !m.now.Before(m.claimedAt) {
		m.learnClaim(host)
	}
	m.hosts[host].markComplete(TableState, m.now)
}

// samplePrimary makes a host that reaches the old primary receive an answer of it, which it
// asked for earlier. The old primary goes on answering after the promotion.
func (m *evidenceModel) samplePrimary() {
	asked := m.now.Add(-time.Duration(m.random.Int64N(int64(300 * time.Millisecond))))
	position := logpos.Position{Term: 1, Offset: uint64(m.now.Sub(m.start))}
	m.hosts[m.random.IntN(len(m.hosts))].gw.group("g").recordPrimaryPosition(asked, position)
}

// acknowledge makes a host acknowledge the claim, and promotes once a majority has.
func (m *evidenceModel) acknowledge() {
	host := m.random.IntN(len(m.hosts))
	if m.now.Before(m.claimedAt) || m.separated(host) {
		return
	}
	m.learnClaim(host)
	m.acknowledged[host] = true
	if m.promotedAt.IsZero() && len(m.acknowledged) >= lease.Majority(len(m.hosts)) {
		m.promotedAt = m.now.Add(permission.Duration)
	}
}

// step lets a random time pass and makes something happen.
func (m *evidenceModel) step(storeReads bool) {
	m.now = m.now.Add(time.Duration(m.random.Int64N(int64(60 * time.Millisecond))))
	m.deliver()
	switch r := m.random.IntN(40); {
	case r == 0 && storeReads:
		m.readClaims()
	case r <= 2:
		m.acknowledge()
	case r <= 8:
		m.samplePrimary()
	default:
		m.call()
	}
}

// Guards against a host that uses a primary after its replacement because of relayed
// evidence: of a host that did not know the claim, counted from too late, or kept over
// several hosts without its age.
func TestNoHostIsPermittedAfterPromotionWithoutTheClaim(t *testing.T) {
	g := NewWithT(t)
	const seeds, steps = 400, 250
	permitted, promoted := 0, 0
	for seed := range uint64(seeds) {
		m := newEvidenceModel(seed, 5+int(seed%3))
		for range steps {
			m.step(seed%2 == 0)
			after := !m.promotedAt.IsZero() && !m.now.Before(m.promotedAt)
			if after {
				promoted++
			}
			for host, c := range m.hosts {
				if !c.gw.primaryPermitted(m.now) {
					continue
				}
				permitted++
				g.Expect(after && !m.knowsClaim(host)).To(BeFalse(), fmt.Sprintf("seed %d: host %d at %v, promoted at %v", seed, host, m.now.Sub(m.start), m.promotedAt.Sub(m.start)))
			}
		}
	}
	g.Expect(permitted).To(BeNumerically(">", seeds*steps))
	g.Expect(promoted).To(BeNumerically(">", seeds*10))
}

// Guards against a position of a replaced primary that proves how fresh a replica is, on the
// host that asked for it or on one that got it by gossip: reads at the replica lacked commits
// of the next primary for as long as the partition lasted (review case 4).
func TestPositionsAreNotNewerThanThePromotion(t *testing.T) {
	g := NewWithT(t)
	const seeds, steps = 400, 250
	sampled := 0
	for seed := range uint64(seeds) {
		m := newEvidenceModel(seed, 5+int(seed%3))
		for range steps {
			m.step(seed%2 == 0)
			for host, c := range m.hosts {
				_, at := c.gw.group("g").staleness.NewestSample()
				if !at.IsZero() {
					sampled++
				}
				late := !m.promotedAt.IsZero() && !at.Before(m.promotedAt)
				g.Expect(late).To(BeFalse(), "seed %d: host %d holds a position of %v, promoted at %v", seed, host, at.Sub(m.start), m.promotedAt.Sub(m.start))
			}
		}
	}
	g.Expect(sampled).To(BeNumerically(">", seeds*steps))
}
