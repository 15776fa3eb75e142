package quota

import (
	"fmt"
	"maps"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// seeds returns the seeds of a test: a few fixed ones, or QUOTA_SEEDS="first count".
func seeds(t *testing.T, fixed int) []uint64 {
	t.Helper()
	first, n := uint64(1), fixed
	if text := os.Getenv("QUOTA_SEEDS"); text != "" {
		if _, err := fmt.Sscan(text, &first, &n); err != nil {
			t.Fatal(err)
		}
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = first + uint64(i)
	}
	return out
}

// checkWindows returns the excess of each team in which too many operations were sent in a window.
func (s *simulation) checkWindows() []excess {
	var out []excess
	for _, t := range s.teams {
		if worst, over := t.worstWindow(); over > 0 {
			out = append(out, worst)
		}
	}
	return out
}

// startAll starts all hosts.
func (s *simulation) startAll() {
	for _, h := range s.hosts {
		s.start(h)
	}
}

// every calls do at random intervals up to the time until.
func (s *simulation) every(mean, until time.Duration, do func()) {
	s.after(time.Duration(s.rng.ExpFloat64()*float64(mean)), func() {
		if s.elapsed < until {
			do()
			s.every(mean, until, do)
		}
	})
}

// disturb lets hosts fail in some ways, until the given time.
func (s *simulation) disturb(until time.Duration) {
	random := func() *simHost { return s.hosts[s.rng.IntN(len(s.hosts))] }
	// sometimes lets a kind of fault occur in half of the runs, at a random rate.
	sometimes := func(shortest time.Duration, do func()) {
		if mean := s.between(shortest, 10*shortest); s.rng.IntN(2) == 0 {
			s.every(mean, until, do)
		}
	}
	s.loss = 0.02 * s.rng.Float64()
	sometimes(time.Second, func() {
		h := random()
		h.frozenUntil = max(h.frozenUntil, s.elapsed+s.between(50*time.Millisecond, 6*time.Second))
	})
	sometimes(3*time.Second, func() {
		h := random()
		s.kill(h)
		s.after(s.between(0, 4*time.Second), func() { s.start(h) })
	})
	sometimes(10*time.Second, func() {
		for _, h := range s.hosts {
			s.kill(h)
			s.after(s.between(0, time.Second), func() { s.start(h) })
		}
	})
	cutHosts, cutStore := make(map[*simHost]bool), make(map[*simHost]bool)
	s.reachable = func(a, b *simHost) bool { return cutHosts[a] == cutHosts[b] }
	s.storeReachable = func(h *simHost) bool { return !cutStore[h] }
	sometimes(2*time.Second, func() {
		clear(cutHosts)
		clear(cutStore)
		side, noStore := s.rng.Float64(), s.rng.Float64()
		for _, h := range s.hosts {
			cutHosts[h] = s.rng.Float64() < side*0.5
			cutStore[h] = s.rng.Float64() < noStore
		}
	})
	sometimes(400*time.Millisecond, func() {
		var voters []string
		leave := s.rng.Float64() * 0.5
		for _, h := range s.hosts {
			if s.rng.Float64() >= leave {
				voters = append(voters, h.address)
			}
		}
		if len(voters) > 0 {
			s.changeElectorate(voters)
		}
	})
}

// askTooMuch lets all teams ask for more than is allowed, all the time or in bursts.
func (s *simulation) askTooMuch() {
	for _, t := range s.teams {
		factor, period := 1+3*s.rng.Float64(), s.between(2*time.Second, 15*time.Second)
		duty := 0.2 + s.rng.Float64()
		t.load = func(at time.Duration) float64 {
			if math.Mod(at.Seconds(), period.Seconds()) > duty*period.Seconds() {
				return 0
			}
			return 1.6 * factor
		}
	}
}

// Guards against more operations of a team in a window than allowed, when hosts freeze, restart,
// join, are cut off from each other or from the store, and the electorate changes often. It also
// checks that no share is lent by two hosts at one time, which need not fill a window.
func TestNoWindowExceedsTheLimitUnderFaults(t *testing.T) {
	tried := seeds(t, 12)
	served := 0
	for _, seed := range tried {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(seed, 4+int(seed%10))
			for range 3 {
				s.after(s.between(0, 30*time.Second), func() { s.start(s.addHost()) })
			}
			s.startAll()
			s.addTeams(8, 100)
			s.askTooMuch()
			s.disturb(35 * time.Second)
			s.runUntil(40 * time.Second)
			g.Expect(s.checkWindows()).To(BeEmpty())
			for _, team := range s.teams {
				g.Expect(team.mostLent()).To(BeNumerically("<", 1.001), "two hosts lend the same share of %s", team.name)
			}
			served += len(s.teams[0].sent)
		})
	}
	// A run with few operations shows little.
	NewWithT(t).Expect(served).To(BeNumerically(">", 1000*len(tried)))
}

// Guards against a lowered limit that hosts exceed after all of them know it, and against raised
// ones that let a window exceed the new limit.
func TestNoWindowExceedsAChangedLimit(t *testing.T) {
	for _, seed := range seeds(t, 4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(seed, 13)
			s.startAll()
			s.addTeams(6, 600)
			s.askTooMuch()
			for at := 10 * time.Second; at < 70*time.Second; at += 15 * time.Second {
				s.after(at, func() {
					limits := make(map[string]Limit)
					for _, team := range s.teams {
						rate := team.usual * 1.6 * math.Pow(10, 2*s.rng.Float64()-1.5)
						limits[team.name] = Limit{Rate: rate, Burst: rate}
					}
					s.setLimits(limits)
				})
			}
			s.runUntil(80 * time.Second)
			g.Expect(s.checkWindows()).To(BeEmpty())
		})
	}
}

// situation is one situation in which the service of teams is measured.
type situation struct {
	name string
	// hot lets the first team ask for so many times its usual rate; 0 for none.
	hot float64
	// arrange is called before the start. The situation is measured between from and to.
	arrange  func(s *simulation)
	from, to time.Duration
	// least are the least shares that the lenders must serve.
	leastAll, leastWorst, leastHot float64
}

// simFaultAt is when a situation's fault occurs.
const simFaultAt = 20 * time.Second

// live returns a running host.
func (s *simulation) live() *simHost {
	for {
		if h := s.hosts[s.rng.IntN(len(s.hosts))]; h.up {
			return h
		}
	}
}

// zoneSkewed makes most operations arrive in one zone, which changes every 10 s.
func (s *simulation) zoneSkewed() {
	s.arrivesAt = func() *simHost {
		for {
			h := s.hosts[s.rng.IntN(len(s.hosts))]
			if h.zone == int(s.elapsed/(10*time.Second))%simZones || s.rng.Float64() < 0.2 {
				return h
			}
		}
	}
}

// situations returns the situations that are measured.
func situations() []situation {
	const usual = 30 * time.Second
	return []situation{
		{name: "calm", from: 10 * time.Second, to: usual, leastAll: 0.97, leastWorst: 0.97},
		{name: "calm, zones in turn", from: 10 * time.Second, to: usual, arrange: (*simulation).zoneSkewed, leastAll: 0.97, leastWorst: 0.97},
		{name: "peak of 1.7 times", from: 10 * time.Second, to: 13 * time.Second, arrange: func(s *simulation) {
			for _, t := range s.teams {
				t.load = func(at time.Duration) float64 {
					if at < 10*time.Second || at > 13*time.Second {
						return 1
					}
					return 1.7
				}
			}
		}, leastAll: 0.97, leastWorst: 0.97},
		{name: "calls of up to 120 ms", from: 10 * time.Second, to: usual, arrange: func(s *simulation) { s.slow = 60 * time.Millisecond }, leastAll: 0.95},
		{name: "hot, calls of up to 120 ms", hot: 7.5, from: 10 * time.Second, to: usual, arrange: func(s *simulation) { s.slow = 60 * time.Millisecond }, leastAll: 0.95, leastHot: 0.85},
		{name: "hot team", hot: 7.5, from: 10 * time.Second, to: usual, leastAll: 0.97, leastWorst: 0.97, leastHot: 0.92},
		{name: "team at 1.0 of allowed", hot: 1.0 * 1.6 * 1.32, from: 10 * time.Second, to: usual, leastAll: 0.97, leastHot: 0.92},
		{name: "team at 1.15 of allowed", hot: 1.15 * 1.6 * 1.32, from: 10 * time.Second, to: usual, leastAll: 0.97, leastHot: 0.92},
		{name: "team at 1.3 of allowed", hot: 1.3 * 1.6 * 1.32, from: 10 * time.Second, to: usual, leastAll: 0.97, leastHot: 0.92},
		{name: "lender of hot team dead", hot: 7.5, from: simFaultAt, to: simFaultAt + 5*time.Second, leastAll: 0.9, arrange: func(s *simulation) {
			s.after(simFaultAt, func() {
				s.kill(s.byAddress[Lenders(s.teams[0].name, s.records[0].Sets[0], maxLenders)[0]])
				s.arrivesAt = s.live
			})
		}},
		{name: "lender of usual team dead", from: simFaultAt, to: simFaultAt + 5*time.Second, leastAll: 0.9, arrange: func(s *simulation) {
			s.after(simFaultAt, func() {
				s.kill(s.byAddress[Lenders(s.teams[0].name, s.records[0].Sets[0], maxLenders)[0]])
				s.arrivesAt = s.live
			})
		}},
		{name: "cut of a third of the hosts", from: simFaultAt, to: simFaultAt + 10*time.Second, arrange: func(s *simulation) {
			s.reachable = func(a, b *simHost) bool { return s.elapsed < simFaultAt || (a.zone == 0) == (b.zone == 0) }
			s.storeReachable = func(h *simHost) bool { return s.elapsed < simFaultAt || h.zone != 0 }
		}},
		{name: "store away", from: simFaultAt, to: simFaultAt + 10*time.Second, leastAll: 0.97, arrange: func(s *simulation) {
			s.storeReachable = func(*simHost) bool { return s.elapsed < simFaultAt }
		}},
		{name: "55% of the hosts dead", from: simFaultAt, to: simFaultAt + 5*time.Second, arrange: func(s *simulation) {
			s.after(simFaultAt, func() {
				for i, at := range s.rng.Perm(len(s.hosts)) {
					if i < len(s.hosts)*55/100 {
						s.kill(s.hosts[at])
					}
				}
				s.arrivesAt = s.live
			})
		}},
		{name: "start of all, first 5 s", from: 0, to: 5 * time.Second},
		{name: "start of all, 1.5 to 5 s", from: 1500 * time.Millisecond, to: 5 * time.Second},
	}
}

// measurement is the result of one run.
type measurement struct {
	shares
	excesses int
	// callsPerHost is the number of calls a second of one host.
	callsPerHost, callsPerOperation float64
}

// measure runs a situation.
func (c situation) measure(seed uint64, kind limiterKind, hosts, teams int, rate float64) measurement {
	s := newSimulation(seed, hosts)
	s.limiter = kind
	s.startAll()
	s.addTeams(teams, rate)
	if c.hot > 0 {
		s.teams[0].load = func(time.Duration) float64 { return c.hot }
	}
	if c.arrange != nil {
		c.arrange(s)
	}
	s.runUntil(c.from)
	before := s.calls
	s.runUntil(c.to + time.Second)
	sent := 0.0
	for _, t := range s.teams {
		sent += count(t.sent, c.from, s.elapsed)
	}
	m := measurement{shares: s.share(c.from, c.to, c.hot > 0), excesses: len(s.checkWindows())}
	m.callsPerHost = float64(s.calls-before) / (s.elapsed - c.from).Seconds() / float64(hosts)
	m.callsPerOperation = float64(s.calls-before) / sent
	return m
}

// simSize is a size of the fleet.
type simSize struct {
	hosts, teams int
	rate         float64
}

// sizes returns the sizes that are simulated: one in CI, and all with QUOTA_SIZES=all.
func sizes() []simSize {
	if os.Getenv("QUOTA_SIZES") != "all" {
		if os.Getenv("QUOTA_SIZES") == "mid" {
			return []simSize{{124, 80, 1300}}
		}
		return []simSize{{13, 80, 150}}
	}
	return []simSize{{13, 80, 150}, {60, 80, 650}, {124, 80, 1300}, {124, 5000, 1300}, {1000, 80, 10000}, {1000, 5000, 10000}}
}

// Guards against refusals within the limit, of a hot team and of the others, when hosts fail and
// as the fleet grows. With -v it prints what docs/design/team-limits.md cites.
func TestServedShare(t *testing.T) {
	for _, size := range sizes() {
		for _, c := range situations() {
			for _, seed := range seeds(t, 1) {
				g := NewWithT(t)
				m := c.measure(seed, byLenders, size.hosts, size.teams, size.rate)
				t.Logf("%4d hosts %4d teams seed %d %-26s served %.3f worst tenth %.3f hot %.3f (asks %.2f), %.2f calls/s a host, %.0f bytes/s a host, %.2f calls an operation",
					size.hosts, size.teams, seed, c.name, m.all, m.worstTenth, m.hot, m.hotAsked, m.callsPerHost, m.callsPerHost*simCallBytes, m.callsPerOperation)
				g.Expect(m.excesses).To(BeZero())
				g.Expect(m.all).To(BeNumerically(">=", c.leastAll), c.name)
				g.Expect(m.worstTenth).To(BeNumerically(">=", c.leastWorst), c.name)
				g.Expect(m.hot).To(BeNumerically(">=", c.leastHot), c.name)
			}
		}
	}
}

// Prints the same for fixed equal shares and for a limiter of each host, with the number of teams
// that exceed their limit. It guards against a comparison with baselines that are not run.
func TestBaselines(t *testing.T) {
	for _, size := range sizes() {
		for name, kind := range map[string]limiterKind{"equal shares": equalShares, "each host alone": eachHost} {
			for _, c := range situations()[:6] {
				if strings.Contains(c.name, "calls of") {
					continue // These limiters call nobody.
				}
				m := c.measure(1, kind, size.hosts, size.teams, size.rate)
				t.Logf("%4d hosts %4d teams %-15s %-20s served %.3f worst tenth %.3f hot %.3f, %d teams over the limit",
					size.hosts, size.teams, name, c.name, m.all, m.worstTenth, m.hot, m.excesses)
			}
		}
	}
}

// Guards against a lowered limit that takes longer than the hosts need to know it.
func TestLoweredLimitBinds(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(seeds(t, 1)[0], 60)
	s.startAll()
	s.addTeams(5, 650)
	hot := s.teams[0]
	hot.load = func(time.Duration) float64 { return 7.5 }
	low := Limit{Rate: hot.limit.Rate / 10, Burst: hot.limit.Burst / 10}
	s.after(simFaultAt, func() {
		limits := maps.Clone(s.limits)
		limits[hot.name] = low
		s.setLimits(limits)
	})
	s.runUntil(40 * time.Second)
	g.Expect(s.checkWindows()).To(BeEmpty())
	last := simFaultAt
	slices.Sort(hot.sent)
	for first, at := range hot.sent {
		if n := int(rules.Allowed(low)); first+n < len(hot.sent) && hot.sent[first+n] <= at+rules.Window {
			last = at
		}
	}
	t.Logf("all hosts know the lowered limit after %v; the last window that exceeds it begins after %v", hot.knownAt-simFaultAt, last-simFaultAt)
	g.Expect(last).To(BeNumerically("<=", hot.knownAt))
}

// Guards against a host that keeps too much for each team. It prints the memory of a host that
// lends for all its teams and has needed tokens of all teams lately.
func TestMemoryOfAHost(t *testing.T) {
	for _, size := range []simSize{{hosts: 124, teams: 80}, {hosts: 124, teams: 5000}, {hosts: 1000, teams: 5000}} {
		s := newSimulation(1, size.hosts)
		s.addTeams(size.teams, 1300)
		before := heapInUse()
		h := s.hosts[0]
		s.start(h)
		s.learn(h, 1)
		h.lender.SetElectorate(long, h.address, s.records[0])
		for _, team := range s.teams {
			h.lender.Lend(start.Add(time.Minute), Request{Team: team.name, Wanted: 1})
			_, order := h.borrower.Take(start, team.name, 1, false)
			h.borrower.Answered(start, start, team.name, order.Lender, Grant{Lender: true, Tokens: 1})
		}
		used := heapInUse() - before
		t.Logf("%d hosts %d teams: %d KB", size.hosts, size.teams, used>>10)
		NewWithT(t).Expect(used).To(BeNumerically("<", 8<<20))
		runtime.KeepAlive(s)
	}
}

// heapInUse returns the size of the live objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
