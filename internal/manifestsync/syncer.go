// Package manifestsync keeps this daemon's copy of the manifest up to date: it
// fetches from peers that are ahead, polls the store when it is this host's
// turn, and serves its copy to peers. A manifest that one daemon has spreads to
// all others while the store is down.
package manifestsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/platform"

	doc "github.com/beryltrestle/beryltrestle/internal/manifest"
)

// tickInterval is how often peers and, on pollers, the store are asked.
const tickInterval = time.Second

// fetchTimeout bounds one fetch from a peer or from the store. It must leave
// room for a second source within the 5 s in which a manifest is in force.
const fetchTimeout = 2 * time.Second

// firstStoreTimeout replaces fetchTimeout for the objects of the first manifest.
// 6,800 pools take 6,865 reads, which last 3.4 s at the store's two thousand reads
// a second.
const firstStoreTimeout = 60 * time.Second

// inboxLength is the number of events that wait for the control goroutine.
const inboxLength = 64

// Syncer keeps one daemon's manifest. Its methods are safe for concurrent use.
type Syncer struct {
	cfg   Config
	inbox chan func(ctx context.Context)
	// held is the highest generation fetched; nil before the first.
	held atomic.Pointer[held]
	// listed is the last host list; nil before the first.
	listed atomic.Pointer[platform.HostListSnapshot]

	// The rest belongs to the goroutine of Run.
	tracker   *manifest.Tracker
	published uint64
	workers   sync.WaitGroup
	// knownHeld and knownList are what the tracker's hosts were taken from, if known.
	knownHeld *held
	knownList *platform.HostListSnapshot
	known     bool

	// fromPeers keeps decoded objects between fetches from peers.
	fromPeers assembler
}

// New returns a syncer that does nothing before Run.
func New(cfg Config) *Syncer {
	return &Syncer{
		cfg:       cfg,
		inbox:     make(chan func(ctx context.Context), inboxLength),
		tracker:   manifest.NewTracker(cfg.Name),
		fromPeers: assembler{joiner: doc.NewJoiner(1)},
	}
}

// Run fetches and publishes until ctx ends. It returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	defer s.workers.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.findHosts(ctx)
	s.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.tick(ctx)
		case event := <-s.inbox:
			event(ctx)
		}
		s.publish(time.Now())
	}
}

// Observe is told the manifest generation that a peer named in any message. It
// never blocks; an event that is dropped is made up for by the next message or tick.
func (s *Syncer) Observe(address string, generation uint64) {
	if h := s.held.Load(); h != nil && generation <= h.generation || generation == 0 {
		return
	}
	s.cfg.Metrics.Inc(metrics.ManifestBehindPeer)
	select {
	case s.inbox <- func(ctx context.Context) { s.begin(ctx, s.tracker.Observe(time.Now(), address, generation)) }:
	default:
	}
}

// SetHosts is told a new version of the host list. It is used from the next tick.
func (s *Syncer) SetHosts(hosts platform.HostListSnapshot) { s.listed.Store(&hosts) }

// tick starts the fetches of this second.
func (s *Syncer) tick(ctx context.Context) {
	if s.held.Load() == nil && s.listed.Load() == nil {
		s.workers.Go(func() { s.findHosts(ctx) })
	}
	s.updateHosts()
	s.begin(ctx, s.tracker.Tick(time.Now()))
}

// begin starts a goroutine for each fetch.
func (s *Syncer) begin(ctx context.Context, fetches []manifest.Fetch) {
	for _, f := range fetches {
		s.workers.Go(func() { s.run(ctx, f) })
	}
}

// run makes one fetch and passes its result to the control goroutine.
func (s *Syncer) run(ctx context.Context, f manifest.Fetch) {
	r, err := s.fetch(ctx, f)
	select {
	case s.inbox <- func(ctx context.Context) { s.finish(ctx, f, r, err) }:
	case <-ctx.Done():
	}
}

// finish takes the result of a fetch.
func (s *Syncer) finish(ctx context.Context, f manifest.Fetch, r result, err error) {
	now := time.Now()
	if err != nil {
		s.cfg.Metrics.Inc(metrics.ManifestFetchFailed)
		s.begin(ctx, s.tracker.Failed(now, f.From))
		return
	}
	if s.tracker.Answered(now, f.From, r.generation) {
		r.held.after(s.held.Load())
		s.held.Store(r.held)
	}
}

// publish publishes the manifest held if it is newer than the last one published.
func (s *Syncer) publish(now time.Time) {
	h := s.held.Load()
	if h == nil || h.generation <= s.published || !s.tracker.CanPublish(now) {
		return
	}
	s.published = h.generation
	s.cfg.Metrics.Inc(metrics.ManifestApplied)
	s.cfg.Metrics.SetGauge(metrics.ManifestGeneration, int64(h.generation))
	s.cfg.Log.Info().Uint64("generation", h.generation).Msg("manifest in force")
	s.cfg.Publish(h.generation, h.doc)
}
