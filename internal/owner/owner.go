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

	// applyMu keeps an older View from being applied after a newer one.
	applyMu sync.Mutex

	mu     sync.Mutex
	groups map[string]*group
	txs    map[outcomes.ID]*transaction
	// draining refuses new transactions.
	draining bool

	outMu    sync.Mutex
	outcomes *outcomes.Table
}

// New returns an Owner. Run must be called for it to follow the control view.
func New(cfg Config) *Owner {
	return &Owner{
		cfg:      cfg,
		groups:   make(map[string]*group),
		txs:      make(map[outcomes.ID]*transaction),
		outcomes: outcomes.New(answerKeepBytes, answerRetention),
	}
}

// Run follows the control view until ctx ends.
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
			o.expire()
		}
	}
}

// applyView brings all groups to the current View.
func (o *Owner) applyView() {
	o.applyMu.Lock()
	defer o.applyMu.Unlock()
	v := o.cfg.Controller.View()
	if v == nil {
		return
	}
	for _, name := range o.followed(v) {
		gv, ok := v.Groups.Get(name)
		if !ok {
			continue
		}
		if g := o.groupFor(name, gv); g != nil {
			g.apply(gv)
		}
	}
}

// followed returns the pools of which this owner needs the view: those that it
// has served and those in which the daemon has a part. It leaves out the
// thousands of pools of other daemons.
func (o *Owner) followed(v *control.View) []string {
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

// groupFor returns the group, and creates it when it is first owned.
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

func (o *Owner) expire() {
	now := time.Now()
	o.outMu.Lock()
	o.outcomes.Expire(now)
	o.outMu.Unlock()
	o.mu.Lock()
	groups := make([]*group, 0, len(o.groups))
	for _, g := range o.groups {
		groups = append(groups, g)
	}
	o.mu.Unlock()
	for _, g := range groups {
		g.prune()
	}
}

// Serve implements peer.RequestHandler.
func (o *Owner) Serve(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter) {
	id := outcomes.ID(req.GetRequestId())
	if req.GetOwnerIncarnation() != o.cfg.Incarnation {
		o.refuse(w, req, notRun(metrics.RefusedWrongIncarnation, stateCannotConnect, "the owner was restarted"))
		return
	}
	if !o.begin(id) {
		o.refuse(w, req, o.repeated(id))
		return
	}
	r := &request{o: o, req: req, id: id, w: w, arrived: time.Now()}
	end := r.run(ctx)
	o.finish(id, r, end)
	w.Finish(end)
}

func (o *Owner) begin(id outcomes.ID) bool {
	o.outMu.Lock()
	defer o.outMu.Unlock()
	return o.outcomes.Begin(id, time.Now())
}

// repeated answers a request ID that was seen before. Only an ID that was
// recorded as never to run may be answered as not run.
func (o *Owner) repeated(id outcomes.ID) *refusal {
	o.outMu.Lock()
	defer o.outMu.Unlock()
	if o.outcomes.Query(id, time.Now()).Outcome == outcomes.NotRun {
		return notRun(metrics.RefusedNeverRun, stateSerialization, "the request was given up before it arrived")
	}
	return unknown(metrics.RefusedNeverRun, "the request ID was used before")
}

// finish records the outcome before the entry hears of it.
func (o *Owner) finish(id outcomes.ID, r *request, end *peerv1.Answer) {
	rec := outcomes.Record{Outcome: outcomeOf(end.GetOutcome()), Reason: end.GetReason()}
	if s := end.GetTransactionStatus(); s != "" {
		rec.Status = s[0]
	}
	if rec.Outcome == outcomes.Done && !r.out.streaming && r.out.size <= answerKeepBytes {
		rec.HasAnswer = true
		rec.Answer = r.out.bytes()
	}
	o.outMu.Lock()
	defer o.outMu.Unlock()
	o.outcomes.Finish(id, time.Now(), rec)
}

func (o *Owner) refuse(w peer.AnswerWriter, req *peerv1.Request, r *refusal) {
	o.cfg.Metrics.Inc(r.reason)
	w.Finish(r.answer(o.location(req.GetPool())))
}

// location names the owner that this daemon knows, nil if none.
func (o *Owner) location(pool string) *peerv1.Location {
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
	o.outMu.Lock()
	defer o.outMu.Unlock()
	rec := o.outcomes.Query(outcomes.ID(req.GetRequestId()), time.Now())
	resp := &peerv1.QueryOutcomeResponse{
		Outcome:   wireOutcome(rec.Outcome),
		Answer:    rec.Answer,
		HasAnswer: rec.HasAnswer,
		Reason:    rec.Reason,
	}
	if rec.Status != 0 {
		resp.TransactionStatus = string(rec.Status)
	}
	return resp
}

func outcomeOf(o peerv1.Outcome) outcomes.Outcome {
	switch o {
	case peerv1.Outcome_OUTCOME_DONE:
		return outcomes.Done
	case peerv1.Outcome_OUTCOME_NOT_RUN:
		return outcomes.NotRun
	default:
		return outcomes.Unknown
	}
}

func wireOutcome(o outcomes.Outcome) peerv1.Outcome {
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
