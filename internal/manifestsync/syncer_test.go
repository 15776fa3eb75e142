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

// spreadLimit is the time within which an accepted manifest must be in force
// everywhere.
const spreadLimit = 5 * time.Second

var errDown = errors.New("down")

// fakeStore holds one accepted manifest and can simulate an outage.
type fakeStore struct {
	mu        sync.Mutex
	down      bool
	record    platform.ManifestRecord
	objects   map[string][]byte
	headReads atomic.Int64
}

func (s *fakeStore) accept(generation uint64, doc *manifest.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	root, objects := manifest.SplitWithHistory(doc, []manifest.Acceptance{{Generation: generation - 1}})
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	maps.Copy(s.objects, objects)
	s.record = platform.ManifestRecord{Generation: generation, Root: root}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Head(ctx context.Context) (platform.ManifestRecord, error) {
	s.mu.Lock()
	s.headReads.Add(1)
	down, record := s.down, s.record
	s.mu.Unlock()
	if down {
		<-ctx.Done() // An outage is seen as requests that are never answered.
		return record, ctx.Err()
	}
	if record.Generation == 0 {
		return record, platform.ErrNotFound
	}
	return record, nil
}

func (s *fakeStore) Object(_ context.Context, hash string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	return s.objects[hash], nil
}

// fakeNetwork connects syncers by address.
type fakeNetwork struct {
	mu      sync.Mutex
	syncers map[string]*manifestsync.Syncer
	// corrupt, if set, changes each answer.
	corrupt     func(*peerv1.FetchManifestRequest, *peerv1.FetchManifestResponse)
	objectsSent atomic.Int64
	// slowAddress is the address of a peer that answers a second late.
	slowAddress string
}

func (n *fakeNetwork) FetchManifest(ctx context.Context, address string, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	n.mu.Lock()
	s, slow := n.syncers[address], n.slowAddress == address
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
	n.objectsSent.Add(int64(len(resp.GetObjects())))
	if n.corrupt != nil {
		n.corrupt(req, resp)
	}
	return resp, err
}

func (n *fakeNetwork) setCorrupt(f func(*peerv1.FetchManifestRequest, *peerv1.FetchManifestResponse)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.corrupt = f
}

func (n *fakeNetwork) setSlow(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowAddress = address
}

// daemon is a syncer with the manifests that it published.
type daemon struct {
	*manifestsync.Syncer
	stop func()
	mu   sync.Mutex
	// generations holds all published generations, in order.
	generations []uint64
	doc         *manifest.Document
	metrics     *metrics.Registry
}

func (d *daemon) lastGeneration() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.generations) == 0 {
		return 0
	}
	return d.generations[len(d.generations)-1]
}

// cluster runs the deployment of an example in one process.
type cluster struct {
	*GomegaWithT
	doc     *manifest.Document
	store   *fakeStore
	network *fakeNetwork
	daemons []*daemon
}

func newCluster(t *testing.T) *cluster {
	g := NewWithT(t)
	data, err := os.ReadFile("../../examples/lindqvist.json")
	g.Expect(err).NotTo(HaveOccurred())
	doc, list := manifest.Decode(data)
	g.Expect(list).To(BeEmpty())
	c := &cluster{GomegaWithT: g, doc: doc, store: &fakeStore{}, network: &fakeNetwork{syncers: map[string]*manifestsync.Syncer{}}}
	t.Cleanup(c.stopAll)
	return c
}

// changedDocument returns the manifest with the user of one pool changed.
func (c *cluster) changedDocument(user string) *manifest.Document {
	encoded, err := json.Marshal(c.doc)
	c.Expect(err).NotTo(HaveOccurred())
	doc, list := manifest.Decode(encoded)
	c.Expect(list).To(BeEmpty())
	doc.Pools[0].User = user
	return doc
}

// startDaemon starts the daemon of host i.
func (c *cluster) startDaemon(i int, s manifestsync.Store) *daemon {
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

// startAll starts the daemons of all hosts at intervals of 70 ms.
func (c *cluster) startAll() {
	for i := range c.doc.Hosts {
		c.daemons = append(c.daemons, c.startDaemon(i, c.store))
		time.Sleep(70 * time.Millisecond)
	}
}

func (c *cluster) stopAll() {
	for _, d := range c.daemons {
		d.stop()
	}
}

// waitPublished waits in virtual time until every daemon has published the
// generation, and returns the duration.
func (c *cluster) waitPublished(generation uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for {
		synctest.Wait()
		behind := 0
		for _, d := range c.daemons {
			if d.lastGeneration() != generation {
				behind++
			}
		}
		if behind == 0 || time.Since(start) > limit {
			c.Expect(behind).To(BeZero(), "daemons behind after %s", time.Since(start))
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against manifests that do not spread without the store or spread too
// slowly, and against daemons that return to an older generation of a late or
// outdated source.
func TestManifestSpreadsWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.changedDocument("one"))
		c.startAll()
		t.Logf("first manifest in force everywhere after %s", c.waitPublished(1, spreadLimit))

		c.store.setDown(true)
		time.Sleep(3 * time.Second)
		for generation := uint64(2); generation <= 6; generation++ {
			// One daemon restarts and is the only one to read the next generation, as if
			// the outage had begun just afterwards.
			own := &fakeStore{}
			own.accept(generation, c.changedDocument(fmt.Sprint("user-", generation)))
			c.daemons[generation].stop()
			c.network.objectsSent.Store(0)
			c.daemons[generation] = c.startDaemon(int(generation), own)
			t.Logf("generation %d in force everywhere after %s, %d objects sent", generation, c.waitPublished(generation, spreadLimit), c.network.objectsSent.Load())
			for _, d := range c.daemons {
				c.Expect(d.doc).To(Equal(c.changedDocument(fmt.Sprint("user-", generation))))
			}
		}
		c.store.setDown(false) // The store is now behind the daemons.
		time.Sleep(10 * time.Second)
		synctest.Wait()
		for _, d := range c.daemons {
			c.Expect(d.lastGeneration()).To(Equal(uint64(6)))
			for i := 1; i < len(d.generations); i++ {
				c.Expect(d.generations[i]).To(BeNumerically(">", d.generations[i-1]))
			}
		}
	})
}

// Guards against every daemon polling the store, against accepted manifests
// that are noticed too late, and against whole manifests being sent for one
// change.
func TestFewDaemonsPollTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.doc)
		c.startAll()
		c.waitPublished(1, spreadLimit)
		time.Sleep(5 * time.Second)
		c.store.headReads.Store(0)
		time.Sleep(60 * time.Second)
		synctest.Wait()
		c.Expect(c.store.headReads.Load()).To(BeNumerically("~", 180, 30))
		for generation := uint64(2); generation < 12; generation++ {
			c.network.objectsSent.Store(0)
			c.store.accept(generation, c.changedDocument(fmt.Sprint("user-", generation)))
			took := c.waitPublished(generation, spreadLimit)
			t.Logf("in force after %s, %d objects sent", took, c.network.objectsSent.Load())
			c.Expect(c.network.objectsSent.Load()).To(BeNumerically("<=", 2*3*len(c.daemons)))
		}
	})
}

// Guards against a restarted daemon that publishes an old manifest, because the
// peer that has it answers first, although another peer has a newer one and the
// store is down.
func TestRestartedDaemonAsksSeveralPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		old, current, down := &fakeStore{}, &fakeStore{}, &fakeStore{down: true}
		old.accept(1, c.changedDocument("old"))
		current.accept(2, c.changedDocument("new"))
		c.daemons = append(c.daemons, c.startDaemon(1, old))
		time.Sleep(10 * time.Millisecond)
		c.daemons = append(c.daemons, c.startDaemon(2, current))
		time.Sleep(10 * time.Millisecond)
		c.network.setSlow(c.doc.Hosts[2].Address)
		restarted := c.startDaemon(5, down)
		c.daemons = append(c.daemons, restarted)
		c.waitPublished(2, spreadLimit)
		c.Expect(restarted.generations).To(Equal([]uint64{2}))
	})
}

// Guards against publishing a manifest with corrupt objects from a peer.
func TestCorruptAnswerIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.doc)
		c.daemons = append(c.daemons, c.startDaemon(0, c.store))
		c.network.setCorrupt(func(_ *peerv1.FetchManifestRequest, resp *peerv1.FetchManifestResponse) {
			for h, body := range resp.Objects {
				resp.Objects[h] = append([]byte(" "), body...)
			}
		})
		d := c.startDaemon(1, &fakeStore{down: true})
		c.daemons = append(c.daemons, d)
		time.Sleep(spreadLimit)
		synctest.Wait()
		c.Expect(d.lastGeneration()).To(BeZero())
		c.Expect(d.metrics.Count(metrics.ManifestRejected)).To(BeNumerically(">", 0))
		c.network.setCorrupt(nil)
		time.Sleep(spreadLimit)
		synctest.Wait()
		c.Expect(d.lastGeneration()).To(Equal(uint64(1)))
	})
}

// Guards against a manifest that is published under a later generation than its
// own: the daemon would then ignore the real manifests up to that generation.
func TestWrongGenerationIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.doc)
		c.network.setCorrupt(func(_ *peerv1.FetchManifestRequest, resp *peerv1.FetchManifestResponse) {
			if resp.Generation > 0 {
				resp.Generation += 10
			}
		})
		c.daemons = append(c.daemons, c.startDaemon(0, c.store), c.startDaemon(1, c.store))
		time.Sleep(2 * spreadLimit)
		synctest.Wait()
		for _, d := range c.daemons {
			c.Expect(d.lastGeneration()).To(Equal(uint64(1)))
		}
	})
}

// Guards against a daemon that stays behind because a delta lacks an object.
// This happens if the daemon received another generation while the delta was on
// its way.
func TestIncompleteDeltaIsReplacedByWholeManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.accept(1, c.doc)
		c.daemons = append(c.daemons, c.startDaemon(0, c.store), c.startDaemon(1, &fakeStore{down: true}))
		c.waitPublished(1, spreadLimit)
		time.Sleep(15 * time.Second) // Both learn that the other hosts are down.
		c.network.setCorrupt(func(req *peerv1.FetchManifestRequest, resp *peerv1.FetchManifestResponse) {
			if req.GetSinceGeneration() > 0 {
				clear(resp.GetObjects())
			}
		})
		c.store.accept(2, c.changedDocument("new"))
		c.waitPublished(2, spreadLimit)
	})
}

// slowStore takes 10 ms to read an object.
type slowStore struct {
	*fakeStore
	reads *atomic.Int64
}

func (s slowStore) Object(ctx context.Context, hash string) ([]byte, error) {
	s.reads.Add(1)
	select {
	case <-time.After(10 * time.Millisecond):
		return s.fakeStore.Object(ctx, hash)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against daemons that never get a manifest after all daemons were
// stopped, because reading its thousands of objects from the store takes longer
// than the timeout of a fetch.
func TestStoreTimeoutCoversFirstManifestOfThousandsOfPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.doc = capacitytest.ResizeManifest(c.doc, capacitytest.Size{Hosts: 14, Pools: 4000})
		c.store.accept(1, c.doc)
		d := c.startDaemon(0, slowStore{c.store, &atomic.Int64{}})
		c.daemons = append(c.daemons, d)
		c.waitPublished(1, 10*time.Second)
	})
}

// Guards against a daemon that continues to read thousands of objects from the
// store after a peer has delivered the manifest: a zone of daemons that starts
// would use up the store's read capacity.
func TestStoreReadsEndOncePeerDeliversManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.doc = capacitytest.ResizeManifest(c.doc, capacitytest.Size{Hosts: 14, Pools: 4000})
		c.store.accept(1, c.doc)
		c.daemons = append(c.daemons, c.startDaemon(0, c.store))
		c.waitPublished(1, spreadLimit)
		reads := &atomic.Int64{}
		d := c.startDaemon(1, slowStore{c.store, reads})
		c.daemons = append(c.daemons, d)
		c.waitPublished(1, spreadLimit)
		time.Sleep(spreadLimit)
		synctest.Wait()
		c.Expect(reads.Load()).To(BeNumerically("<", 1000))
	})
}
