package owner

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/outcomes"
	"github.com/beryltrestle/beryltrestle/internal/control"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

// Owner serves the groups that this daemon owns. It implements peer.RequestHandler.
type Owner struct {
	cfg Config

	// applyMu serializes applyView, so that no View is applied after a newer one.
	applyMu sync.Mutex

	mu           sync.Mutex
	groups       map[string]*group
	transactions map[outcomes.ID]*transaction
	// draining is true once Drain was called; new transactions are then refused.
	draining bool

	outcomesMu sync.Mutex
	outcomes   *outcomes.Table
}

// New returns an Owner. It follows the control View only while Run runs.
func New(cfg Config) *Owner {
	return &Owner{
		cfg:          cfg,
		groups:       make(map[string]*group),
		transactions: make(map[outcomes.ID]*transaction),
		outcomes:     outcomes.New(maxKeptAnswerBytes, answerRetention),
	}
}

// Run applies each new control View, and expires old state, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		changed := o.cfg.Controller.Changed()
		o.applyView()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
			o.expireOldState()
		}
	}
}

// applyView applies the current control View to all groups.
func (o *Owner) applyView() {
	o.applyMu.Lock()
	defer o.applyMu.Unlock()
	v := o.cfg.Controller.View()
	if v == nil {
		return
	}
	for _, name := range o.relevantPools(v) {
		gv, ok := v.Groups.Get(name)
		if !ok {
			continue
		}
		if g := o.groupFor(name, gv); g != nil {
			g.apply(gv)
		}
	}
}

// relevantPools returns the pools whose view this owner must apply: those that it has
// served, and those that the daemon owns, claims or monitors. It leaves out the
// thousands of pools of other daemons.
func (o *Owner) relevantPools(v *control.View) []string {
	names := slices.Collect(v.Groups.Local())
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range o.groups {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// groupFor returns the group of a pool, nil if this daemon has not served it. It creates
// the group when the view first shows it as owned by this daemon or in transition.
func (o *Owner) groupFor(name string, gv control.GroupView) *group {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.groups[name]
	if !ok && (gv.Owned || gv.InTransition) {
		g = newGroup(&o.cfg, name)
		o.groups[name] = g
	}
	return g
}

// expireOldState removes expired outcomes and the floors that are no longer needed.
func (o *Owner) expireOldState() {
	now := time.Now()
	o.outcomesMu.Lock()
	o.outcomes.Expire(now)
	o.outcomesMu.Unlock()
	o.mu.Lock()
	groups := make([]*group, 0, len(o.groups))
	for _, g := range o.groups {
		groups = append(groups, g)
	}
	o.mu.Unlock()
	for _, g := range groups {
		g.pruneFloors()
	}
}

// Serve implements peer.RequestHandler.
func (o *Owner) Serve(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter) {
	id := outcomes.ID(req.GetRequestId())
	if req.GetOwnerIncarnation() != o.cfg.Incarnation {
		o.refuse(w, req, notRun(metrics.RefusedWrongIncarnation, stateCannotConnectNow, "the owner was restarted"))
		return
	}
	if !o.beginRequest(id) {
		o.refuse(w, req, o.duplicateRefusal(id))
		return
	}
	r := &request{owner: o, req: req, id: id, writer: w, arrived: time.Now()}
	end := r.run(ctx)
	o.recordOutcome(id, r, end)
	w.Finish(end)
}

// beginRequest records that a request starts. It returns false if the request must not
// run.
func (o *Owner) beginRequest(id outcomes.ID) bool {
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	return o.outcomes.Begin(id, time.Now())
}

// duplicateRefusal returns the refusal of a request whose ID was used before. The
// refusal says "not run" only if the ID was recorded as never to run.
func (o *Owner) duplicateRefusal(id outcomes.ID) *refusal {
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	if o.outcomes.Query(id, time.Now()).Outcome == outcomes.NotRun {
		return notRun(metrics.RefusedNeverRun, stateSerialization, "the request was given up before it arrived")
	}
	return unknown(metrics.RefusedNeverRun, "the request ID was used before")
}

// recordOutcome records the outcome of a request. It must be called before the end of
// the answer is sent to the entry.
func (o *Owner) recordOutcome(id outcomes.ID, r *request, end *peerv1.Answer) {
	rec := outcomes.Record{Outcome: outcomeFromProto(end.GetOutcome()), Reason: end.GetReason()}
	if s := end.GetTransactionStatus(); s != "" {
		rec.Status = s[0]
	}
	if rec.Outcome == outcomes.Done && !r.output.streaming && r.output.size <= maxKeptAnswerBytes {
		rec.HasAnswer = true
		rec.Answer = r.output.bytes()
	}
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	o.outcomes.Finish(id, time.Now(), rec)
}

// refuse counts a refusal and sends it to the entry.
func (o *Owner) refuse(w peer.AnswerWriter, req *peerv1.Request, r *refusal) {
	o.cfg.Metrics.Inc(r.reason)
	w.Finish(r.toAnswer(o.ownerLocation(req.GetPool())))
}

// ownerLocation returns the current owner of the pool as far as this daemon knows, nil
// if it knows none.
func (o *Owner) ownerLocation(pool string) *peerv1.Location {
	v := o.cfg.Controller.View()
	if v == nil {
		return nil
	}
	gv, ok := v.Groups.Get(pool)
	if !ok || gv.OwnerAddress == "" {
		return nil
	}
	return &peerv1.Location{Address: gv.OwnerAddress, Incarnation: gv.OwnerIncarnation, Term: gv.Term}
}

// QueryOutcome implements peer.RequestHandler.
func (o *Owner) QueryOutcome(req *peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse {
	if req.GetOwnerIncarnation() != o.cfg.Incarnation || len(req.GetRequestId()) != len(outcomes.ID{}) {
		return &peerv1.QueryOutcomeResponse{Outcome: peerv1.Outcome_OUTCOME_UNKNOWN}
	}
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	rec := o.outcomes.Query(outcomes.ID(req.GetRequestId()), time.Now())
	resp := &peerv1.QueryOutcomeResponse{
		Outcome:   outcomeToProto(rec.Outcome),
		Answer:    rec.Answer,
		HasAnswer: rec.HasAnswer,
		Reason:    rec.Reason,
	}
	if rec.Status != 0 {
		resp.TransactionStatus = string(rec.Status)
	}
	return resp
}

func outcomeFromProto(o peerv1.Outcome) outcomes.Outcome {
	switch o {
	case peerv1.Outcome_OUTCOME_DONE:
		return outcomes.Done
	case peerv1.Outcome_OUTCOME_NOT_RUN:
		return outcomes.NotRun
	default:
		return outcomes.Unknown
	}
}

func outcomeToProto(o outcomes.Outcome) peerv1.Outcome {
	switch o {
	case outcomes.Done:
		return peerv1.Outcome_OUTCOME_DONE
	case outcomes.NotRun:
		return peerv1.Outcome_OUTCOME_NOT_RUN
	case outcomes.Running:
		return peerv1.Outcome_OUTCOME_RUNNING
	default:
		return peerv1.Outcome_OUTCOME_UNKNOWN
	}
}

func samePool(a, b manifest.Pool) bool { return reflect.DeepEqual(a, b) }
