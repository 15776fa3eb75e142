package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// panicPlan makes calls panic, by their name. It is safe for concurrent use.
type panicPlan struct {
	mu   sync.Mutex
	left map[string]int
}

// set makes the next n calls panic.
func (p *panicPlan) set(call string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left[call] = n
}

// reach panics if the call is to panic.
func (p *panicPlan) reach(call string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left[call] > 0 {
		p.left[call]--
		panic("injected in " + call)
	}
}

// done reports whether all calls that are to panic have done so.
func (p *panicPlan) done(call string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left[call] == 0
}

type panickingDialer struct {
	gateway.Dialer
	plan *panicPlan
}

func (d panickingDialer) Dial(ctx context.Context, e gateway.Endpoint, team string) (gateway.EndpointConn, error) {
	d.plan.reach("dial")
	conn, err := d.Dialer.Dial(ctx, e, team)
	return panickingConn{conn, d.plan}, err
}

type panickingConn struct {
	gateway.EndpointConn
	plan *panicPlan
}

func (c panickingConn) Alive() bool {
	c.plan.reach("alive")
	return c.EndpointConn.Alive()
}

func (c panickingConn) Close() error {
	c.plan.reach("close")
	return c.EndpointConn.Close()
}

func (c panickingConn) Send(deadline time.Time, requests ...gateway.Request) error {
	c.plan.reach("send")
	return c.EndpointConn.Send(deadline, requests...)
}

func (c panickingConn) Receive(deadline time.Time) (gateway.Reply, error) {
	c.plan.reach("receive")
	return c.EndpointConn.Receive(deadline)
}

type panickingStore struct {
	gateway.Store
	plan *panicPlan
}

func (s panickingStore) Changes(ctx context.Context, table gateway.TableName, after uint64, wait time.Duration) ([]rows.Row, uint64, error) {
	s.plan.reach("changes")
	return s.Store.Changes(ctx, table, after, wait)
}

func (s panickingStore) List(ctx context.Context, table gateway.TableName) (gateway.Listing, error) {
	s.plan.reach("list")
	return s.Store.List(ctx, table)
}

type panickingDecoder struct {
	gateway.Decoder
	plan *panicPlan
}

func (d panickingDecoder) Endpoint(r rows.Row) (gateway.Endpoint, error) {
	if r.Key == "odd" {
		d.plan.reach("endpoint row")
	}
	return d.Decoder.Endpoint(r)
}

func (d panickingDecoder) Catalog(r rows.Row) (*gateway.Catalog, bool, error) {
	if r.Key == "odd" {
		d.plan.reach("configuration row")
	}
	return d.Decoder.Catalog(r)
}

type panickingPeers struct {
	gateway.PeerClient
	plan *panicPlan
}

func (p panickingPeers) Exchange(ctx context.Context, address string, msg gateway.GossipMessage) (gateway.GossipMessage, error) {
	p.plan.reach("exchange")
	return p.PeerClient.Exchange(ctx, address, msg)
}

// startWithPanics starts a fleet whose host h1 has calls that can be made to panic. It
// returns the metrics of h1.
func startWithPanics(t *testing.T, plan *panicPlan) (*fakeFleet, *metrics.Registry) {
	f := startFleet(t, manyConnections, "h2")
	registry := metrics.NewRegistry()
	f.configure = func(cfg *gateway.Config) {
		cfg.Metrics = registry
		cfg.Dialer, cfg.Store = panickingDialer{cfg.Dialer, plan}, panickingStore{cfg.Store, plan}
		cfg.Decoder, cfg.Peers = panickingDecoder{cfg.Decoder, plan}, panickingPeers{cfg.Peers, plan}
		status := cfg.ParseStatus
		cfg.ParseStatus = func(rows []string) (gateway.Status, error) {
			plan.reach("status")
			return status(rows)
		}
	}
	f.start(t, "h1")
	return f, registry
}

// Guards against a panic in one call or row that ends the process, or leaves a lock held or
// a connection in use.
func TestPanicInOneCallDoesNotStopTheHost(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	plan := &panicPlan{left: make(map[string]int)}
	f, registry := startWithPanics(t, plan)
	writeUntilConfirmed(t, f, "h1", 5*time.Second)
	read := func() gateway.Reply {
		return f.caller("h1", "strict").do(session.Statement{ID: "q", Op: session.OpRead, Text: "READ x"})
	}
	for _, call := range []string{"receive", "send", "alive", "dial", "close", "list", "changes", "exchange", "status", "endpoint row", "configuration row"} {
		before := registry.Count(metrics.Panics)
		plan.set(call, 3)
		g.Eventually(func() bool {
			read()
			f.store.putRaw(gateway.TableEndpoints, "odd", "{}")
			f.store.putRaw(gateway.TableCatalog, "odd", "{}")
			if call == "dial" || call == "close" || call == "status" {
				// A lost connection is closed, replaced by another, and the endpoint probed.
				plan.set("receive", 1)
			}
			return plan.done(call)
		}, 10*time.Second, 5*time.Millisecond).Should(BeTrue(), call)
		plan.set("receive", 0)
		g.Expect(registry.Count(metrics.Panics)).To(BeNumerically(">=", before+3), call)
		writeUntilConfirmed(t, f, "h1", 5*time.Second)
	}
	g.Expect(f.logs["h1"].String()).To(MatchRegexp(`"work":"dial endpoint".*"panic":"injected in dial".*"stack":".*panic_test.go.*"message":"work ended by a panic"`))
	// All connections are free again: many statements run at the same time.
	var wg sync.WaitGroup
	for n := range 60 {
		wg.Go(func() {
			r := f.caller("h1", "strict").do(session.Statement{ID: fmt.Sprintf("r%d", n), Op: session.OpRead, Text: "READ x"})
			if !r.OK() {
				t.Errorf("read %d: %v %s", n, r.Code, r.Detail)
			}
		})
	}
	wg.Wait()
}

// panickingCaller is a caller whose answers cannot be sent.
type panickingCaller struct {
	*fakeCaller
	plan   *panicPlan
	closed chan struct{}
}

func (c panickingCaller) Reply(r gateway.Reply) error {
	c.plan.reach("reply")
	return c.fakeCaller.Reply(r)
}

func (c panickingCaller) Close() error {
	close(c.closed)
	return nil
}

// Guards against a panic in one session that ends the process, or leaves the session's
// transaction open.
func TestPanicInSessionEndsOnlyTheSession(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	plan := &panicPlan{left: make(map[string]int)}
	f := startFleet(t, manyConnections, "h1")
	c := panickingCaller{plan: plan, closed: make(chan struct{}), fakeCaller: &fakeCaller{
		database: "strict", statements: make(chan session.Statement), replies: make(chan gateway.Reply, 1),
		interrupts: make(chan struct{}, 8), ended: make(chan struct{}),
	}}
	go f.hosts["h1"].Serve(c, func() error { return nil })
	g.Expect(c.do(session.Statement{ID: "b", Op: session.OpBegin, Text: "BEGIN"}).Code).To(Equal(gateway.CodeNone))
	plan.set("reply", 1)
	c.statements <- write("x", "1")
	g.Eventually(c.closed, 2*time.Second).Should(BeClosed())
	g.Eventually(func() bool { return f.group.openTransactions() == 0 }, 2*time.Second).Should(BeTrue())
	writeUntilConfirmed(t, f, "h1", time.Second)
	// The session closes the caller's connection before the guard writes the line.
	g.Eventually(f.logs["h1"].String, 2*time.Second).Should(ContainSubstring("work ended by a panic"))
}

// openTransactions returns the number of connections with an open transaction.
func (g *fakeGroup) openTransactions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.endpoints {
		for c := range e.conns {
			if c.inTx && !c.dead {
				n++
			}
		}
	}
	return n
}
