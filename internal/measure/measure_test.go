package measure

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// bareSystem is a System of one endpoint without a proxy.
type bareSystem struct{ group *database.Group }

func (b bareSystem) Entries() []string { return b.group.Addresses()[:1] }

func (b bareSystem) FailPrimary(context.Context, string) (func(), error) {
	b.group.Servers[0].SetFaults(func(f *database.Faults) { f.CutClients = true })
	return func() { b.group.Servers[0].SetFaults(func(f *database.Faults) { f.CutClients = false }) }, nil
}

func (b bareSystem) SetReplicaLag(context.Context, string, time.Duration) error { return nil }

func (b bareSystem) Counters(context.Context) (map[string]int64, error) {
	return map[string]int64{"retry.lease": 3, "reads.replica": 9, "reads.primary": 1}, nil
}

func testOptions(unit time.Duration) Options {
	d := Cooperative()
	d.Pools = d.Pools[:1]
	return Options{Deployment: d, Policy: "none", Seed: 7, PhaseUnit: unit, Sessions: 20}
}

func startBare(t *testing.T, o Options) bareSystem {
	t.Helper()
	g, err := database.StartGroup(1, database.Config{
		DataDir: t.TempDir(),
		Slots:   o.Deployment.Slots,
		Faults:  database.Faults{ServiceTime: o.Deployment.ServiceTime},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Close() })
	return bareSystem{group: g}
}

// Guards against runs with equal seeds that cannot be compared because their offered
// work differs.
func TestSameSeedOffersSameWork(t *testing.T) {
	g := NewWithT(t)
	for name, s := range scenarios {
		phases := s.phases(testOptions(time.Second).withDefaults())
		first, second := generateJobs(3, phases, 3, 100), generateJobs(3, phases, 3, 100)
		g.Expect(digest(first)).To(Equal(digest(second)), name)
		g.Expect(digest(generateJobs(4, phases, 3, 100))).NotTo(Equal(digest(first)), name)
	}
}

// Guards against jobs that arrive at another rate than the phase requires.
func TestOfferedRate(t *testing.T) {
	g := NewWithT(t)
	jobs := generateJobs(1, []Phase{{Duration: 100 * time.Second, Rates: map[string]float64{kindBooking: 50}}}, 2, 10)
	g.Expect(len(jobs)).To(BeNumerically("~", 5000, 250))
}

// Guards against scenarios that fail, lose outcomes or write no report.
func TestScenariosAgainstBareEndpoint(t *testing.T) {
	for _, name := range Scenarios() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := testOptions(200 * time.Millisecond)
			rep, err := Run(context.Background(), name, startBare(t, o), o)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rep.Check.OK()).To(BeTrue(), "%+v", rep.Check)
			g.Expect(rep.Check.Confirmed).To(BeNumerically(">", 0))
			g.Expect(rep.Retries).To(BeEmpty(), "counters that did not grow were reported")
			var table strings.Builder
			g.Expect(rep.WriteTable(&table)).To(Succeed())
			g.Expect(table.String()).To(ContainSubstring("confirmed"))
			if name == "failover" {
				g.Expect(*rep.GapMs).To(BeNumerically(">=", 500))
			}
		})
	}
}

// Guards against a check that misses lost, duplicate or stale bookings, or bookings
// that ran although they were refused.
func TestCheckFindsViolations(t *testing.T) {
	g := NewWithT(t)
	booking := Job{Kind: kindBooking}
	var c Check
	c.addOutcome(outcome{job: booking, result: history.OK}, 1)
	c.addOutcome(outcome{job: booking, result: history.NotRun}, 0)
	c.addOutcome(outcome{job: booking, result: history.Unknown}, 1)
	g.Expect(c.OK()).To(BeTrue())
	c.addOutcome(outcome{job: booking, result: history.OK}, 0)
	c.addOutcome(outcome{job: booking, result: history.OK}, 2)
	c.addOutcome(outcome{job: booking, result: history.NotRun}, 1)
	c.addOutcome(outcome{job: Job{Kind: kindLookup}, stale: true}, 0)
	g.Expect(c.Violations).To(HaveLen(4))
	c.Violations = nil
	g.Expect(c).To(Equal(Check{Confirmed: 3, Lost: 1, Doubled: 1, RanAlthoughRefused: 1, Unknown: 1, StaleLookups: 1}))
}
