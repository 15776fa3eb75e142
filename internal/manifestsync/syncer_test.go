package manifestsync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/capacitytest"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/manifestsync"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// bound is the time in which an accepted manifest must be in force everywhere.
const bound = 5 * time.Second

var errDown = errors.New("down")

// store is an accepted manifest with an outage switch.
type store struct {
	mu      sync.Mutex
	down    bool
	item    platform.ManifestRecord
	objects map[string][]byte
	heads   atomic.Int64
}

func (s *store) accept(generation uint64, doc *manifest.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	root, objects := manifest.SplitAfter(doc, []manifest.Acceptance{{Generation: generation - 1}})
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	maps.Copy(s.objects, objects)
	s.item = platform.ManifestRecord{Generation: generation, Root: root}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) Head(ctx context.Context) (platform.ManifestRecord, error) {
	s.mu.Lock()
	s.heads.Add(1)
	down, item := s.down, s.item
	s.mu.Unlock()
	if down {
		<-ctx.Done() // An outage is seen as requests that are never answered.
		return item, ctx.Err()
	}
	if item.Generation == 0 {
		return item, platform.ErrNotFound
	}
	return item, nil
}

func (s *store) Object(_ context.Context, hash string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	return s.objects[hash], nil
}

// network joins syncers by address.
type network struct {
	mu      sync.Mutex
	syncers map[string]*manifestsync.Syncer
	// damage changes answers.
	damage func(*peerv1.FetchManifestRequest, *peerv1.FetchManifestResponse)
	sent   atomic.Int64
	// slow is the address of a peer that answers late.
	slow string
}

func (n *network) FetchManifest(ctx context.Context, address string, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	n.mu.Lock()
	s, slow := n.syncers[address], n.slow == address
	n.mu.Unlock()
	time.Sleep(time.Millisecond)
	if slow {
		time.Sleep(time.Second)
	}
	if s == nil {
		return nil, errDown
	}
	resp, err := s.FetchManifest(ctx, req)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent.Add(int64(len(resp.GetObjects())))
	if n.damage != nil {
		n.damage(req, resp)
	}
	return resp, err
}

func (n *network) setDamage(f func(*peerv1.FetchManifestRequest, *peerv1.FetchManifestResponse)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.damage = f
}

func (n *network) setSlow(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow = address
}

// daemon is a syncer and what it published.
type daemon struct {
	*manifestsync.Syncer
	stop func()
	mu   sync.Mutex
	// generations are all that were published, in order.
	generations []uint64
	doc         *manifest.Document
	metrics     *metrics.Registry
}

func (d *daemon) last() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.generations) == 0 {
		return 0
	}
	return d.generations[len(d.generations)-1]
}

// cluster is the deployment of an example in one process.
type cluster struct {
	*GomegaWithT
	doc     *manifest.Document
	store   *store
	network *network
	daemons []*daemon
}

func newCluster(t *testing.T) *cluster {
	g := NewWithT(t)
	data, err := os.ReadFile("../../examples/lindqvist.json")
	g.Expect(err).NotTo(HaveOccurred())
	doc, list := manifest.Decode(data)
	g.Expect(list).To(BeEmpty())
	c := &cluster{GomegaWithT: g, doc: doc, store: &store{}, network: &network{syncers: map[string]*manifestsync.Syncer{}}}
	t.Cleanup(c.stopAll)
	return c
}

// change returns the manifest with one pool changed.
func (c *cluster) change(user string) *manifest.Document {
	encoded, err := json.Marshal(c.doc)
	c.Expect(err).NotTo(HaveOccurred())
	doc, list := manifest.Decode(encoded)
	c.Expect(list).To(BeEmpty())
	doc.Pools[0].User = user
	return doc
}

// launch starts the daemon of host i.
func (c *cluster) launch(i int, s manifestsync.Store) *daemon {
	h := c.doc.Hosts[i]
	d := &daemon{metrics: metrics.NewRegistry()}
	d.Syncer = manifestsync.New(manifestsync.Config{
		Name: h.Name, Address: h.Address, Store: s, Peers: c.network, Metrics: d.metrics, Log: zerolog.Nop(),
		Bootstrap: []string{c.doc.Hosts[0].Address, c.doc.Hosts[1].Address, c.doc.Hosts[2].Address, c.doc.Hosts[3].Address},
		Publish: func(generation uint64, doc *manifest.Document) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.generations = append(d.generations, generation)
			d.doc = doc
		},
	})
	c.network.mu.Lock()
	c.network.syncers[h.Address] = d.Syncer
	c.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	d.stop = func() {
		c.network.mu.Lock()
		delete(c.network.syncers, h.Address)
		c.network.mu.Unlock()
		cancel()
		<-done
	}
	return d
}

// launchAll starts the daemons of all hosts, a little apart.
func (c *cluster) launchAll() {
	for i := range c.doc.Hosts {
		c.daemons = append(c.daemons, c.launch(i, c.store))
		time.Sleep(70 * time.Millisecond)
	}
}

func (c *cluster) stopAll() {
	for _, d := range c.daemons {
		d.stop()
	}
}

// await waits in virtual time until every daemon published the generation, and
// returns how long that took.
func (c *cluster) await(generation uint64, limit time.Duration) time.Duration {
	began := time.Now()
	for {
		synctest.Wait()
		behind := 0
		for _, d := range c.daemons {
			if d.last() != generation {
				behind++
			}
		}
		if behind == 0 || time.Since(began) > limit {
			c.Expect(behind).To(BeZero(), "daemons behind after %s", time.Since(began))
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against manifests that need the store to spread, that spread too
// slowly, and against daemons that go back to what a late or old source has.
func TestManifestSpreadsWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.change("one"))
		c.launchAll()
		t.Logf("first manifest in force everywhere after %s", c.await(1, bound))

		c.store.setDown(true)
		time.Sleep(3 * time.Second)
		for generation := uint64(2); generation <= 6; generation++ {
			// One daemon restarts and reads the next generation just before the outage.
			own := &store{}
			own.accept(generation, c.change(fmt.Sprint("user-", generation)))
			c.daemons[generation].stop()
			c.network.sent.Store(0)
			c.daemons[generation] = c.launch(int(generation), own)
			t.Logf("generation %d in force everywhere after %s, %d objects sent", generation, c.await(generation, bound), c.network.sent.Load())
			for _, d := range c.daemons {
				c.Expect(d.doc).To(Equal(c.change(fmt.Sprint("user-", generation))))
			}
		}
		c.store.setDown(false) // The store is now behind the daemons.
		time.Sleep(10 * time.Second)
		synctest.Wait()
		for _, d := range c.daemons {
			c.Expect(d.last()).To(Equal(uint64(6)))
			for i := 1; i < len(d.generations); i++ {
				c.Expect(d.generations[i]).To(BeNumerically(">", d.generations[i-1]))
			}
		}
	})
}

// Guards against every daemon polling the store, against accepted manifests
// that are noticed too late, and against whole manifests sent for one change.
func TestFewDaemonsPollTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.doc)
		c.launchAll()
		c.await(1, bound)
		time.Sleep(5 * time.Second)
		c.store.heads.Store(0)
		time.Sleep(60 * time.Second)
		synctest.Wait()
		c.Expect(c.store.heads.Load()).To(BeNumerically("~", 180, 30))
		for generation := uint64(2); generation < 12; generation++ {
			c.network.sent.Store(0)
			c.store.accept(generation, c.change(fmt.Sprint("user-", generation)))
			took := c.await(generation, bound)
			t.Logf("in force after %s, %d objects sent", took, c.network.sent.Load())
			c.Expect(c.network.sent.Load()).To(BeNumerically("<=", 2*3*len(c.daemons)))
		}
	})
}

// Guards against a restarted daemon that publishes the old manifest of the
// first peer that answers, while the store is down and another peer has a newer one.
func TestRestartedDaemonAsksSeveralPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		old, current, down := &store{}, &store{}, &store{down: true}
		old.accept(1, c.change("old"))
		current.accept(2, c.change("new"))
		c.daemons = append(c.daemons, c.launch(1, old))
		time.Sleep(10 * time.Millisecond)
		c.daemons = append(c.daemons, c.launch(2, current))
		time.Sleep(10 * time.Millisecond)
		c.network.setSlow(c.doc.Hosts[2].Address)
		restarted := c.launch(5, down)
		c.daemons = append(c.daemons, restarted)
		c.await(2, bound)
		c.Expect(restarted.generations).To(Equal([]uint64{2}))
	})
}

// Guards against damaged objects of a peer being put into force.
func TestDamagedAnswerIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.doc)
		c.daemons = append(c.daemons, c.launch(0, c.store))
		c.network.setDamage(func(_ *peerv1.FetchManifestRequest, resp *peerv1.FetchManifestResponse) {
			for h, body := range resp.Objects {
				resp.Objects[h] = append([]byte(" "), body...)
			}
		})
		d := c.launch(1, &store{down: true})
		c.daemons = append(c.daemons, d)
		time.Sleep(bound)
		synctest.Wait()
		c.Expect(d.last()).To(BeZero())
		c.Expect(d.metrics.Count(metrics.ManifestRejected)).To(BeNumerically(">", 0))
		c.network.setDamage(nil)
		time.Sleep(bound)
		synctest.Wait()
		c.Expect(d.last()).To(Equal(uint64(1)))
	})
}

// Guards against a manifest that is taken for a later generation than its own:
// the daemon would never take the real ones that follow.
func TestWrongGenerationIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.doc)
		c.network.setDamage(func(_ *peerv1.FetchManifestRequest, resp *peerv1.FetchManifestResponse) {
			if resp.Generation > 0 {
				resp.Generation += 10
			}
		})
		c.daemons = append(c.daemons, c.launch(0, c.store), c.launch(1, c.store))
		time.Sleep(2 * bound)
		synctest.Wait()
		for _, d := range c.daemons {
			c.Expect(d.last()).To(Equal(uint64(1)))
		}
	})
}

// Guards against a daemon that stays behind because a delta lacks an object:
// this happens if it took another generation while the delta was on its way.
func TestIncompleteDeltaIsReplacedByWholeManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.doc)
		c.daemons = append(c.daemons, c.launch(0, c.store), c.launch(1, &store{down: true}))
		c.await(1, bound)
		time.Sleep(15 * time.Second) // Both learn that the other hosts are down.
		c.network.setDamage(func(req *peerv1.FetchManifestRequest, resp *peerv1.FetchManifestResponse) {
			if req.GetSinceGeneration() > 0 {
				clear(resp.GetObjects())
			}
		})
		c.store.accept(2, c.change("new"))
		c.await(2, bound)
	})
}

// slowStore takes 10 ms to read an object.
type slowStore struct {
	*store
	reads *atomic.Int64
}

func (s slowStore) Object(ctx context.Context, hash string) ([]byte, error) {
	s.reads.Add(1)
	select {
	case <-time.After(10 * time.Millisecond):
		return s.store.Object(ctx, hash)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against daemons that never get the first manifest, after all were
// stopped, because the reads of its thousands of objects take longer than the
// timeout of a fetch.
func TestFirstManifestOfThousandsOfPoolsComesFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.doc = capacitytest.ResizeManifest(c.doc, capacitytest.Size{Hosts: 14, Pools: 4000})
		c.store.accept(1, c.doc)
		d := c.launch(0, slowStore{c.store, &atomic.Int64{}})
		c.daemons = append(c.daemons, d)
		c.await(1, 10*time.Second)
	})
}

// Guards against a daemon that goes on reading thousands of objects from the store
// after a peer has delivered the manifest: a zone of daemons that starts would use
// up the store's reads.
func TestReadsFromTheStoreEndWhenAPeerHasTheManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.doc = capacitytest.ResizeManifest(c.doc, capacitytest.Size{Hosts: 14, Pools: 4000})
		c.store.accept(1, c.doc)
		c.daemons = append(c.daemons, c.launch(0, c.store))
		c.await(1, bound)
		reads := &atomic.Int64{}
		d := c.launch(1, slowStore{c.store, reads})
		c.daemons = append(c.daemons, d)
		c.await(1, bound)
		time.Sleep(bound)
		synctest.Wait()
		c.Expect(reads.Load()).To(BeNumerically("<", 1000))
	})
}
