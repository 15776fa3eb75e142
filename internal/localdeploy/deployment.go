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
	// Groups holds the database group of each pool.
	Groups map[string]*database.Group
	Hosts  []*Host
	// Manifest is the manifest that Start applied.
	Manifest *manifest.Document
	// keyFile is the path of the file with the platform access key.
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
	if d.keyFile, err = writeKeyFile(); err != nil {
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
	d.Manifest = d.buildManifest()
	d.Platform.SetHosts(d.hostList())
	if _, err := d.ManifestStore().Apply(ctx, d.Manifest, 0, "localdeploy"); err != nil {
		return err
	}
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return d.waitForOwners(ctx)
}

// peersOf returns the peers in the host's settings, which it contacts at the start if
// the host list is not available.
func (d *Deployment) peersOf(h *Host) []string {
	var out []string
	for _, other := range d.Hosts {
		if other != h && len(out) < bootstrapPeers {
			out = append(out, other.PeerAddress())
		}
	}
	return out
}

func (d *Deployment) waitForOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, pool := range d.cfg.Pools {
		if err := d.WaitForOwner(ctx, pool); err != nil {
			return err
		}
	}
	return nil
}

// ManifestStore returns a manifest store that uses the platform stand-in.
func (d *Deployment) ManifestStore() *manifeststore.Store {
	cfg := daemon.Config{Settings: d.Hosts[0].settings}
	if err := cfg.OpenStores(); err != nil {
		panic(err) // Fails only if the key file is missing, which start has written.
	}
	return manifeststore.New(cfg.Table, cfg.Objects)
}

// WaitForOwner waits until a running host owns the pool.
func (d *Deployment) WaitForOwner(ctx context.Context, pool string) error {
	for d.Owner(pool) == nil {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "pool %s has no owner", pool)
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// Owner returns the running host that owns the pool, the one of the highest term if
// several hosts believe that they do, or nil if none does.
func (d *Deployment) Owner(pool string) *Host {
	var best *Host
	var term uint64
	for _, h := range d.Hosts {
		g, ok := h.GroupView(pool)
		if ok && g.Owned && g.Term > term {
			best, term = h, g.Term
		}
	}
	return best
}

// Primary returns the endpoint that the pool's owner uses as primary, or nil if the
// pool has no owner.
func (d *Deployment) Primary(pool string) *database.Server {
	owner := d.Owner(pool)
	if owner == nil {
		return nil
	}
	g, _ := owner.GroupView(pool)
	return d.primaryIn(pool, g)
}

// primaryIn returns the endpoint that is the primary in the view, or nil.
func (d *Deployment) primaryIn(pool string, view control.GroupView) *database.Server {
	for _, s := range d.Groups[pool].Servers {
		if s.Address() == view.Primary {
			return s
		}
	}
	return nil
}

// Replicas returns the pool's endpoints other than the primary.
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

// ReplicasCaughtUp reports whether every replica has applied all entries of the
// primary's log. Sessions that start before that may read from a replica on which a
// new table does not exist yet.
func (d *Deployment) ReplicasCaughtUp(pool string) bool {
	end := d.Primary(pool).Status().Applied
	for _, replica := range d.Replicas(pool) {
		if !replica.Status().Applied.Covers(end) {
			return false
		}
	}
	return true
}

// Close stops the daemons and the stand-ins.
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

// writeKeyFile writes an access key to a temporary file and returns its path. The
// content does not matter, because the stand-in checks no keys.
func writeKeyFile() (string, error) {
	f, err := os.CreateTemp("", "beryltrestle-key-")
	if err != nil {
		return "", err
	}
	defer f.Close()
	_, err = f.WriteString("local")
	return f.Name(), err
}

func (d *Deployment) zoneFor(i int) string {
	return d.cfg.AvailabilityZones[i%len(d.cfg.AvailabilityZones)]
}

func (d *Deployment) buildManifest() *manifest.Document {
	doc := &manifest.Document{Version: 1, Deployment: "local"}
	for _, h := range d.Hosts {
		doc.Hosts = append(doc.Hosts, manifest.Host{
			Name: h.Name, Address: h.PeerAddress(), AvailabilityZone: h.zone, Capacity: hostCapacity,
		})
	}
	for _, pool := range d.cfg.Pools {
		doc.Pools = append(doc.Pools, d.manifestPool(pool))
	}
	return doc
}

func (d *Deployment) manifestPool(name string) manifest.Pool {
	p := manifest.Pool{
		Name: name, Database: name, User: "beryltrestle",
		Classes: d.cfg.Rules.Classes, Reads: d.cfg.Rules.Reads, Writes: d.cfg.Rules.Writes,
	}
	for i, addr := range d.Groups[name].Addresses() {
		p.Endpoints = append(p.Endpoints, manifest.Endpoint{
			Name:             fmt.Sprintf("%s-%d", name, i),
			Address:          addr,
			AvailabilityZone: d.zoneFor(i),
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

// CallerAddresses returns the addresses at which the running hosts accept callers.
func (d *Deployment) CallerAddresses() []string {
	var out []string
	for _, h := range d.Hosts {
		if h.Running() {
			out = append(out, h.CallerAddress())
		}
	}
	return out
}

// ManifestInForce reports whether every running host uses a manifest of at least the
// generation.
func (d *Deployment) ManifestInForce(generation uint64) bool {
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

// CounterSum returns the sum of the counter over the running hosts.
func (d *Deployment) CounterSum(name metrics.Name) int64 {
	var n int64
	for _, h := range d.Hosts {
		if h.Running() {
			n += h.Daemon().Metrics().Count(name)
		}
	}
	return n
}
