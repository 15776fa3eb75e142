package localdeploy

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/daemon"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
	standin "github.com/beryltrestle/beryltrestle/internal/standin/platform"
)

// Deployment is a running deployment.
type Deployment struct {
	cfg      Config
	Platform *standin.Server
	// Groups are the database groups by pool.
	Groups   map[string]*database.Group
	Hosts    []*Host
	Manifest *manifest.Document
	// keyFile holds the access key that the stand-in of the platform accepts.
	keyFile string
}

// Start starts the stand-ins, applies the manifest, starts the daemons and waits
// until every pool has an owner.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	d := &Deployment{cfg: cfg.withDefaults(), Groups: make(map[string]*database.Group)}
	if err := d.start(ctx); err != nil {
		return nil, errors.CombineErrors(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if d.Platform, err = standin.Start(standin.Config{}); err != nil {
		return err
	}
	if d.keyFile, err = writeKey(); err != nil {
		return err
	}
	for _, pool := range d.cfg.Pools {
		g, err := database.StartGroup(d.cfg.Endpoints, d.cfg.Database)
		if err != nil {
			return err
		}
		d.Groups[pool] = g
	}
	for i := range d.cfg.Hosts {
		h, err := newHost(d, i)
		if err != nil {
			return err
		}
		d.Hosts = append(d.Hosts, h)
	}
	for _, h := range d.Hosts {
		h.settings.Peers = d.peersOf(h)
	}
	d.Manifest = d.document()
	d.Platform.SetHosts(d.hostList())
	if _, err := d.Store().Apply(ctx, d.Manifest, 0, "localdeploy"); err != nil {
		return err
	}
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return d.waitOwners(ctx)
}

// peersOf returns the peers that a host starts from while the host list is not
// available.
func (d *Deployment) peersOf(h *Host) []string {
	var out []string
	for _, other := range d.Hosts {
		if other != h && len(out) < bootstrapPeers {
			out = append(out, other.PeerAddress())
		}
	}
	return out
}

func (d *Deployment) waitOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, pool := range d.cfg.Pools {
		if err := d.WaitOwner(ctx, pool); err != nil {
			return err
		}
	}
	return nil
}

// Store returns a manifest store over the stand-in of the platform.
func (d *Deployment) Store() *manifeststore.Store {
	cfg := daemon.Config{Settings: d.Hosts[0].settings}
	if err := cfg.OpenStores(); err != nil {
		panic(err) // the key file was written by start
	}
	return manifeststore.New(cfg.Table, cfg.Objects)
}

// WaitOwner waits until a running host owns the pool.
func (d *Deployment) WaitOwner(ctx context.Context, pool string) error {
	for d.Owner(pool) == nil {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "pool %s has no owner", pool)
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// Owner returns the host that owns the pool at the highest term, nil if none.
func (d *Deployment) Owner(pool string) *Host {
	var best *Host
	var term uint64
	for _, h := range d.Hosts {
		g, ok := h.Group(pool)
		if ok && g.Owned && g.Term > term {
			best, term = h, g.Term
		}
	}
	return best
}

// Primary returns the endpoint that is the pool's primary for its owner, nil if
// there is no owner.
func (d *Deployment) Primary(pool string) *database.Server {
	owner := d.Owner(pool)
	if owner == nil {
		return nil
	}
	g, _ := owner.Group(pool)
	return d.endpoint(pool, g)
}

func (d *Deployment) endpoint(pool string, g control.GroupView) *database.Server {
	for _, s := range d.Groups[pool].Servers {
		if s.Address() == g.Primary {
			return s
		}
	}
	return nil
}

// Replicas returns the endpoints that are not the primary.
func (d *Deployment) Replicas(pool string) []*database.Server {
	primary := d.Primary(pool)
	var out []*database.Server
	for _, s := range d.Groups[pool].Servers {
		if s != primary {
			out = append(out, s)
		}
	}
	return out
}

// CaughtUp reports whether every replica has applied what the primary's log holds
// now. Sessions that start earlier may read from a replica that lacks a new table.
func (d *Deployment) CaughtUp(pool string) bool {
	end := d.Primary(pool).Status().Applied
	for _, replica := range d.Replicas(pool) {
		if !replica.Status().Applied.Covers(end) {
			return false
		}
	}
	return true
}

// Close stops everything.
func (d *Deployment) Close() error {
	for _, h := range d.Hosts {
		h.Kill()
	}
	var err error
	for _, g := range d.Groups {
		err = errors.CombineErrors(err, g.Close())
	}
	if d.Platform != nil {
		err = errors.CombineErrors(err, d.Platform.Close())
	}
	if d.keyFile != "" {
		err = errors.CombineErrors(err, os.Remove(d.keyFile))
	}
	return err
}

// writeKey writes an access key to a temporary file; the stand-in checks none.
func writeKey() (string, error) {
	f, err := os.CreateTemp("", "beryltrestle-key-")
	if err != nil {
		return "", err
	}
	defer f.Close()
	_, err = f.WriteString("local")
	return f.Name(), err
}

func (d *Deployment) zone(i int) string {
	return d.cfg.AvailabilityZones[i%len(d.cfg.AvailabilityZones)]
}

func (d *Deployment) document() *manifest.Document {
	doc := &manifest.Document{Version: 1, Deployment: "local"}
	for _, h := range d.Hosts {
		doc.Hosts = append(doc.Hosts, manifest.Host{
			Name: h.Name, Address: h.PeerAddress(), AvailabilityZone: h.zone, Capacity: hostCapacity,
		})
	}
	for _, pool := range d.cfg.Pools {
		doc.Pools = append(doc.Pools, d.pool(pool))
	}
	return doc
}

func (d *Deployment) pool(name string) manifest.Pool {
	p := manifest.Pool{
		Name: name, Database: name, User: "beryltrestle",
		Classes: d.cfg.Rules.Classes, Reads: d.cfg.Rules.Reads, Writes: d.cfg.Rules.Writes,
	}
	for i, addr := range d.Groups[name].Addresses() {
		p.Endpoints = append(p.Endpoints, manifest.Endpoint{
			Name:             fmt.Sprintf("%s-%d", name, i),
			Address:          addr,
			AvailabilityZone: d.zone(i),
			Slots:            d.cfg.Database.Slots,
			Connections:      d.cfg.Database.Connections,
		})
	}
	return p
}

func (d *Deployment) hostList() []platform.Host {
	var out []platform.Host
	for _, h := range d.Hosts {
		out = append(out, platform.Host{
			Name: h.Name, Address: h.PeerAddress(), AvailabilityZone: h.zone,
			Capacity: hostCapacity, State: platform.HostLive,
		})
	}
	return out
}

// CallerAddresses returns the callers' addresses of the running hosts.
func (d *Deployment) CallerAddresses() []string {
	var out []string
	for _, h := range d.Hosts {
		if h.Running() {
			out = append(out, h.CallerAddress())
		}
	}
	return out
}

// InForce reports whether every running host applies at least the generation.
func (d *Deployment) InForce(generation uint64) bool {
	for _, h := range d.Hosts {
		if !h.Running() {
			continue
		}
		if v := h.Daemon().View(); v == nil || v.Generation < generation {
			return false
		}
	}
	return true
}

// Count returns the sum of a counter over the running hosts.
func (d *Deployment) Count(name metrics.Name) int64 {
	var n int64
	for _, h := range d.Hosts {
		if h.Running() {
			n += h.Daemon().Metrics().Count(name)
		}
	}
	return n
}
