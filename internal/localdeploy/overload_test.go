package localdeploy_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

// Guards against answers that reach the wrong request and against refused requests
// that ran anyway, when an overloaded pool refuses most requests of drivers that cache
// prepared statements.
func TestOverloadKeepsGuarantees(t *testing.T) {
	g := NewWithT(t)
	d := startDeployment(t, localdeploy.Config{
		Database: database.Config{Faults: database.Faults{ServiceTime: 10 * time.Millisecond}},
		Rules:    localdeploy.Rules{Classes: []manifest.Class{{Name: "all", DeadlineMs: 200, Priority: 5}}},
	})
	createTables(t, d, "members")
	recorder := &history.Recorder{}
	load := &workload.Load{Sessions: 200, Frames: 50, Pool: "members", Entries: entries(d), Recorder: recorder, Seed: 1}
	load.Start()
	time.Sleep(4 * time.Second)
	load.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stored, err := workload.CountStored(ctx, d.Hosts[0].CallerAddress(), "members")
	g.Expect(err).NotTo(HaveOccurred())
	summary := history.Summarize(recorder.Ops())
	t.Logf("%+v", summary)
	g.Expect(history.Check(recorder.Ops(), stored)).To(BeEmpty())
	g.Expect(summary.NotRun).To(BeNumerically(">", 100), "the run was not overloaded")
	g.Expect(summary.Unknown).To(BeZero())
}
