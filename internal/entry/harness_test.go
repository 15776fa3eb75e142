package entry_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/entry"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

const (
	testPool        = "members"
	testIncarnation = 7
	testTerm        = 3
	testTimeout     = 20 * time.Second
)

// fakeControl answers Locate. The entry uses none of the other calls.
type fakeControl struct {
	peer.ControlHandler
	location *peerv1.Location
}

func (c *fakeControl) Locate(context.Context, *peerv1.LocateRequest) (*peerv1.LocateResponse, error) {
	return &peerv1.LocateResponse{Owner: c.location}, nil
}

func (c *fakeControl) ObserveGeneration(string, uint64) {}

// fakeViews publishes views of one group.
type fakeViews struct {
	mu      sync.Mutex
	view    *control.View
	changed chan struct{}
}

func (v *fakeViews) View() *control.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view
}

func (v *fakeViews) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fakeViews) publish(g control.GroupView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.view = &control.View{Generation: 1, Groups: control.NewGroups(map[string]control.GroupView{testPool: g})}
	if v.changed != nil {
		close(v.changed)
	}
	v.changed = make(chan struct{})
}

// ownerServer is a fakeOwner that is reached through real streams on loopback.
type ownerServer struct {
	owner   *fakeOwner
	service *peer.Service
	address string
}

func startOwner(t testing.TB) *ownerServer {
	t.Helper()
	return startOwnerWithLocation(t, nil)
}

// startOwnerWithLocation starts an owner that answers Locate with the location.
func startOwnerWithLocation(t testing.TB, location *peerv1.Location) *ownerServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &ownerServer{owner: &fakeOwner{}, address: ln.Addr().String()}
	d.service = peer.NewService(peer.ServiceConfig{RequestHandler: d.owner, ControlHandler: &fakeControl{location: location}})
	go func() { _ = d.service.Serve(ln) }()
	t.Cleanup(d.service.Close)
	return d
}

// harness is an entry server with one owner.
type harness struct {
	*ownerServer
	g             *WithT
	server        *entry.Server
	views         *fakeViews
	metrics       *metrics.Registry
	callerAddress string
}

func newHarness(t testing.TB, change func(*entry.Config)) *harness {
	t.Helper()
	h := &harness{ownerServer: startOwner(t), g: NewWithT(t), views: &fakeViews{}, metrics: metrics.NewRegistry()}
	h.views.publish(control.GroupView{OwnerAddress: h.address, OwnerIncarnation: testIncarnation, Term: testTerm, Candidates: []string{h.address}})
	streams := peer.NewExchangeClient(peer.Config{Metrics: h.metrics})
	t.Cleanup(streams.Close)
	cfg := entry.Config{Peers: streams, Views: h.views, Metrics: h.metrics}
	if change != nil {
		change(&cfg)
	}
	h.server = entry.New(cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.callerAddress = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = h.server.Serve(ctx, ln) }()
	return h
}

// dsn returns the connection string of the entry server with further options.
func (h *harness) dsn(options string) string {
	return fmt.Sprintf("postgres://anna@%s/%s?sslmode=disable%s", h.callerAddress, testPool, options)
}

func (h *harness) connect(t testing.TB, options string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), h.dsn(options))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}
