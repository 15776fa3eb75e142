package control_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/control"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const pool = "ledger"

var errUnreachable = errors.New("peer is unreachable")

// daemon is one daemon of a cluster, reduced to its control loop.
type daemon struct {
	*control.Loop
	address  string
	metrics  *metrics.Registry
	cancel   context.CancelFunc
	isolated bool
}

// cluster connects daemons and endpoints in memory.
type cluster struct {
	t         *testing.T
	mu        sync.Mutex
	running   sync.WaitGroup
	daemons   []*daemon
	endpoints *fakeEndpoints
	document  manifest.Document
}

func newCluster(t *testing.T, daemons int, drain func(context.Context, string)) *cluster {
	c := &cluster{t: t, endpoints: newFakeEndpoints("db0", "db1", "db2")}
	c.document.Pools = []manifest.Pool{{Name: pool, Endpoints: []manifest.Endpoint{
		{Address: "db0"}, {Address: "db1"}, {Address: "db2"},
	}}}
	for i := range daemons {
		a := fmt.Sprintf("d%d", i)
		c.document.Hosts = append(c.document.Hosts, manifest.Host{Name: a, Address: a, Capacity: 1})
	}
	for i := range daemons {
		c.daemons = append(c.daemons, c.newDaemon(uint64(i), drain))
	}
	for _, d := range c.daemons {
		c.start(d)
	}
	t.Cleanup(func() {
		for _, d := range c.daemons {
			d.cancel()
		}
		c.running.Wait()
	})
	return c
}

func (c *cluster) newDaemon(i uint64, drain func(context.Context, string)) *daemon {
	d := &daemon{address: fmt.Sprintf("d%d", i), metrics: metrics.NewRegistry()}
	log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
		if g, _ := d.View().Groups.Get(pool); message == "group owned" && !g.Owned {
			c.t.Errorf("%s acts on a state before its View is published", d.address)
		}
	}))
	d.Loop = control.New(control.Config{
		Name: d.address, Address: d.address, Incarnation: 100 + i, Seed: i,
		GroupControl: c.endpoints, Peers: &fakePeers{c, d},
		Metrics: d.metrics, Log: log, Drain: drain,
	})
	return d
}

func (c *cluster) start(d *daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	c.running.Go(func() { _ = d.Run(ctx) })
	doc := c.document
	d.SetManifest(1, &doc)
}

// setIsolated disconnects a daemon from its peers, or connects it again.
func (c *cluster) setIsolated(d *daemon, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.isolated = isolated
}

// owner returns the daemon with a valid lease in the highest term, or nil. It
// fails the test if that daemon may confirm while another one's lease holds.
func (c *cluster) owner() *daemon {
	var found *daemon
	var highest control.GroupView
	for _, d := range c.daemons {
		v := d.View().Group(pool)
		if !v.LeaseValid(time.Now()) {
			continue
		}
		low, high := v, highest
		if v.Term > highest.Term {
			low, high = highest, v
			found, highest = d, v
		}
		if low.Owned && !time.Now().Before(high.ConfirmAfter) {
			c.t.Fatalf("term %d may confirm while the lease of term %d holds", high.Term, low.Term)
		}
	}
	return found
}

// waitOwner waits until a daemon other than the given one owns the pool. It
// returns the daemon and the duration of the wait.
func (c *cluster) waitOwner(other *daemon, limit time.Duration) (*daemon, time.Duration) {
	c.t.Helper()
	start := time.Now()
	for time.Since(start) <= limit {
		if d := c.owner(); d != nil && d != other {
			return d, time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("no new owner within %v", limit)
	return nil, 0
}

// fakePeers delivers the messages of one daemon to the others.
type fakePeers struct {
	cluster *cluster
	from    *daemon
}

// receiver returns the daemon with the address. If it or the sender is isolated,
// receiver blocks until ctx ends and returns an error.
func (p *fakePeers) receiver(ctx context.Context, address string) (*daemon, error) {
	time.Sleep(time.Millisecond)
	for _, d := range p.cluster.daemons {
		if d.address != address {
			continue
		}
		p.cluster.mu.Lock()
		isolated := d.isolated || p.from.isolated
		p.cluster.mu.Unlock()
		if !isolated {
			return d, nil
		}
	}
	<-ctx.Done()
	return nil, errUnreachable
}

func (p *fakePeers) PreVote(ctx context.Context, a string, r *peerv1.PreVoteRequest) (*peerv1.PreVoteResponse, error) {
	d, err := p.receiver(ctx, a)
	if err != nil {
		return nil, err
	}
	return d.PreVote(ctx, r)
}

func (p *fakePeers) Heartbeat(
	ctx context.Context, a string, r *peerv1.HeartbeatRequest,
) (*peerv1.HeartbeatResponse, error) {
	d, err := p.receiver(ctx, a)
	if err != nil {
		return nil, err
	}
	return d.Heartbeat(ctx, r)
}

func (p *fakePeers) Handover(
	ctx context.Context, a string, r *peerv1.HandoverRequest,
) (*peerv1.HandoverResponse, error) {
	d, err := p.receiver(ctx, a)
	if err != nil {
		return nil, err
	}
	return d.Handover(ctx, r)
}
