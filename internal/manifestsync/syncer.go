// Package manifestsync keeps this daemon's copy of the manifest up to date: it
// fetches from peers with a newer generation, polls the store when it is this
// host's turn, and serves its copy to peers. A manifest that reached one daemon
// spreads to all others even while the store is down.
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

// tickInterval is the time between requests to peers and, on pollers, to the
// store.
const tickInterval = time.Second

// fetchTimeout is the time limit of one fetch from a peer or from the store. It
// must leave time for a second source within the 5 s in which a manifest must
// be in force.
const fetchTimeout = 2 * time.Second

// firstStoreTimeout replaces fetchTimeout for the objects of the first
// manifest. 6,800 pools take 6,865 reads, which last 3.4 s at the store's two
// thousand reads a second.
const firstStoreTimeout = 60 * time.Second

// eventQueueSize is the number of events that can wait for the goroutine of
// Run.
const eventQueueSize = 64

// Syncer keeps one daemon's manifest up to date. Its methods are safe for
// concurrent use.
type Syncer struct {
	cfg    Config
	events chan func(ctx context.Context)
	// latest is the newest manifest fetched; nil before the first.
	latest atomic.Pointer[snapshot]
	// hostList is the last host list received; nil before the first.
	hostList atomic.Pointer[platform.HostListSnapshot]

	// The fields below belong to the goroutine of Run.
	tracker             *manifest.Tracker
	publishedGeneration uint64
	workers             sync.WaitGroup
	// trackedSnapshot and trackedHostList are the sources of the tracker's hosts,
	// once hostsTracked is true.
	trackedSnapshot *snapshot
	trackedHostList *platform.HostListSnapshot
	hostsTracked    bool

	// peerAssembler keeps decoded objects between fetches from peers.
	peerAssembler assembler
}

// New returns a syncer that is idle until Run.
func New(cfg Config) *Syncer {
	return &Syncer{
		cfg:           cfg,
		events:        make(chan func(ctx context.Context), eventQueueSize),
		tracker:       manifest.NewTracker(cfg.Name),
		peerAssembler: assembler{joiner: doc.NewJoiner(1)},
	}
}

// Run fetches and publishes until ctx ends. It returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	defer s.workers.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.loadHostList(ctx)
	s.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.tick(ctx)
		case event := <-s.events:
			event(ctx)
		}
		s.publish(time.Now())
	}
}

// ObserveGeneration records the manifest generation that a peer named in a
// message. It does not block: if the queue is full the event is dropped, and
// the next message or tick makes up for it.
func (s *Syncer) ObserveGeneration(address string, generation uint64) {
	if latest := s.latest.Load(); latest != nil && generation <= latest.generation || generation == 0 {
		return
	}
	s.cfg.Metrics.Inc(metrics.ManifestBehindPeer)
	select {
	case s.events <- func(ctx context.Context) { s.startFetches(ctx, s.tracker.Observe(time.Now(), address, generation)) }:
	default:
	}
}

// SetHosts sets a new version of the host list. It is used from the next tick
// on.
func (s *Syncer) SetHosts(hosts platform.HostListSnapshot) { s.hostList.Store(&hosts) }

// tick starts the fetches that are due.
func (s *Syncer) tick(ctx context.Context) {
	if s.latest.Load() == nil && s.hostList.Load() == nil {
		s.workers.Go(func() { s.loadHostList(ctx) })
	}
	s.updateHosts()
	s.startFetches(ctx, s.tracker.Tick(time.Now()))
}

// startFetches starts a goroutine for each fetch.
func (s *Syncer) startFetches(ctx context.Context, fetches []manifest.Fetch) {
	for _, f := range fetches {
		s.workers.Go(func() { s.runFetch(ctx, f) })
	}
}

// runFetch makes one fetch and passes its result to the goroutine of Run.
func (s *Syncer) runFetch(ctx context.Context, f manifest.Fetch) {
	r, err := s.fetch(ctx, f)
	select {
	case s.events <- func(ctx context.Context) { s.handleResult(ctx, f, r, err) }:
	case <-ctx.Done():
	}
}

// handleResult records the result of a fetch.
func (s *Syncer) handleResult(ctx context.Context, f manifest.Fetch, r fetchResult, err error) {
	now := time.Now()
	if err != nil {
		s.cfg.Metrics.Inc(metrics.ManifestFetchFailed)
		s.startFetches(ctx, s.tracker.Failed(now, f.From))
		return
	}
	if s.tracker.Answered(now, f.From, r.generation) {
		r.snapshot.recordStep(s.latest.Load())
		s.latest.Store(r.snapshot)
	}
}

// publish publishes the latest manifest unless it is already published or the
// tracker still waits for other sources.
func (s *Syncer) publish(now time.Time) {
	latest := s.latest.Load()
	if latest == nil || latest.generation <= s.publishedGeneration || !s.tracker.CanPublish(now) {
		return
	}
	s.publishedGeneration = latest.generation
	s.cfg.Metrics.Inc(metrics.ManifestApplied)
	s.cfg.Metrics.SetGauge(metrics.ManifestGeneration, int64(latest.generation))
	s.cfg.Log.Info().Uint64("generation", latest.generation).Msg("manifest in force")
	s.cfg.Publish(latest.generation, latest.doc)
}
