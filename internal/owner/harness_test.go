package owner_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/control"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/owner"
	"github.com/beryltrestle/beryltrestle/internal/platform/groupctl"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

const (
	poolName    = "members"
	incarnation = 7
	// ownTerm is the term that the Owner holds; endpoints start at term 1.
	ownTerm = 2
	// waitTimeout is the timeout for states that a test waits for.
	waitTimeout = 10 * time.Second
)

// harness runs an Owner on a group of stand-in database servers, with a control view
// that the test publishes.
type harness struct {
	t            *testing.T
	g            *WithT
	owner        *owner.Owner
	control      *fakeControl
	groupControl *groupctl.Client
	group        *database.Group
	metrics      *metrics.Registry
	view         control.GroupView
}

// newHarness starts the group and an Owner that holds ownTerm with endpoint 0 as
// primary.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, g: NewWithT(t), control: newFakeControl(), groupControl: groupctl.New(), metrics: metrics.NewRegistry()}
	group, err := database.StartGroup(3, database.Config{})
	h.g.Expect(err).NotTo(HaveOccurred())
	h.group = group
	t.Cleanup(func() { _ = group.Close() })
	h.owner = owner.New(owner.Config{
		Incarnation:  incarnation,
		Controller:   h.control,
		GroupControl: h.groupControl,
		Metrics:      h.metrics,
		Log:          zerolog.Nop(),
		NewScheduler: func() admission.Scheduler { return admission.NewScheduler(admission.Config{}) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.owner.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	h.becomeOwner()
	h.write("CREATE TABLE bookings (id text PRIMARY KEY)")
	return h
}

// becomeOwner claims ownTerm and publishes a view in which this daemon owns the group.
func (h *harness) becomeOwner() {
	h.t.Helper()
	marker := h.claimTerm("self", ownTerm, 0, 1, 2)
	h.view = control.GroupView{
		Pool:    h.pool(),
		Owned:   true,
		Term:    ownTerm,
		Primary: h.group.Servers[0].Address(),
		Marker:  marker,
	}
	h.renewLease()
}

func (h *harness) pool() manifest.Pool {
	p := manifest.Pool{
		Name: poolName, Database: poolName, User: "app",
		Reads: []manifest.ReadKind{{Name: "lookup", MaxStalenessMs: 60_000, Match: manifest.Match{Tag: "lookup"}}},
	}
	for _, addr := range h.group.Addresses() {
		p.Endpoints = append(p.Endpoints, manifest.Endpoint{Name: addr, Address: addr, Slots: 3, Connections: 20})
	}
	return p
}

// renewLease polls the endpoints as the control goroutine does and publishes a view
// whose read lease starts with these polls.
func (h *harness) renewLease() {
	h.t.Helper()
	started := time.Now()
	h.view.LeaseStart = started
	h.view.Endpoints = make(map[string]control.EndpointView)
	for _, addr := range h.group.Addresses() {
		st, err := h.groupControl.Status(context.Background(), addr)
		h.g.Expect(err).NotTo(HaveOccurred())
		h.view.Endpoints[addr] = control.EndpointView{EndpointStatus: st, PolledAt: started, Reachable: true}
	}
	h.publish()
}

func (h *harness) publish() {
	h.control.publish(h.view)
	h.g.Eventually(func() bool { return h.control.viewApplied() }).WithTimeout(waitTimeout).WithPolling(time.Millisecond).Should(BeTrue())
}

// answer is the Owner's answer to a request.
type answer struct {
	end  *peerv1.Answer
	rows []string
	took time.Duration
}

func (h *harness) request(sql string) *peerv1.Request {
	id := uuid.New()
	query, err := (&pgproto3.Query{String: sql}).Encode(nil)
	h.g.Expect(err).NotTo(HaveOccurred())
	return &peerv1.Request{
		RequestId:        id[:],
		OwnerIncarnation: incarnation,
		Pool:             poolName,
		Session:          "anna",
		Batch:            query,
	}
}

func (h *harness) serve(req *peerv1.Request) answer {
	w := &answerRecorder{}
	started := time.Now()
	h.owner.Serve(context.Background(), req, w)
	return answer{end: w.end, rows: rowsOf(w.out.Bytes()), took: time.Since(started)}
}

// write runs a statement and expects that it is confirmed.
func (h *harness) write(sql string) {
	h.t.Helper()
	a := h.serve(h.request(sql))
	h.g.Expect(a.end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE), a.end.String())
}

// claimForOtherOwner lets another holder claim the next term on endpoints 1 and 2, a
// majority, and writes a booking there that endpoint 0 never receives.
func (h *harness) claimForOtherOwner(booking string) {
	h.t.Helper()
	h.claimTerm("other", ownTerm+1, 1, 2)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://app@"+h.group.Servers[1].Address()+"/"+poolName+"?sslmode=disable")
	h.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "INSERT INTO bookings (id) VALUES ('"+booking+"')")
	h.g.Expect(err).NotTo(HaveOccurred())
}

// answerRecorder collects an answer.
type answerRecorder struct {
	mu  sync.Mutex
	out bytes.Buffer
	end *peerv1.Answer
}

func (w *answerRecorder) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

func (w *answerRecorder) Finish(end *peerv1.Answer) { w.end = end }

// rowsOf returns the first column of each row of an answer.
func rowsOf(out []byte) []string {
	var rows []string
	for len(out) >= 5 {
		n := 1 + int(out[1])<<24 + int(out[2])<<16 + int(out[3])<<8 + int(out[4])
		var row pgproto3.DataRow
		if out[0] == 'D' && row.Decode(out[5:n]) == nil && len(row.Values) > 0 {
			rows = append(rows, string(row.Values[0]))
		}
		out = out[n:]
	}
	return rows
}
