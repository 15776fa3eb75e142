package manifestsync

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	coordmanifest "github.com/beryltrestle/beryltrestle/coord/manifest"
	"github.com/beryltrestle/beryltrestle/internal/capacitytest"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// fixedPeer is a peer that returns a prepared answer.
type fixedPeer struct {
	answer *peerv1.FetchManifestResponse
}

func (p *fixedPeer) FetchManifest(context.Context, string, *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	return p.answer, nil
}

// testSyncer is a syncer that fetches one generation after another from a
// fixedPeer.
type testSyncer struct {
	syncer      *Syncer
	peer        *fixedPeer
	doc         *manifest.Document
	lastObjects map[string][]byte
	generation  uint64
}

func newTestSyncer(tb testing.TB, s capacitytest.Size) *testSyncer {
	tb.Helper()
	data, err := os.ReadFile("../../examples/cooperative.json")
	if err != nil {
		tb.Fatal(err)
	}
	doc, list := manifest.Decode(data)
	if len(list) > 0 {
		tb.Fatal(list)
	}
	f := &testSyncer{peer: &fixedPeer{}, doc: capacitytest.ResizeManifest(doc, s)}
	f.syncer = New(Config{Name: "entry-0000", Peers: f.peer, Metrics: metrics.NewRegistry(), Log: zerolog.Nop()})
	f.acceptNext(tb)
	return f
}

// prepareAnswer prepares the peer's answer for the next generation, in which
// the user of one pool differs.
func (f *testSyncer) prepareAnswer() {
	f.generation++
	f.doc.Pools[f.generation*7919%uint64(len(f.doc.Pools))].User = fmt.Sprint("user-", f.generation)
	history := []manifest.Acceptance{{Generation: f.generation - 1}}
	root, objects := manifest.SplitWithHistory(f.doc, history)
	f.peer.answer = &peerv1.FetchManifestResponse{Generation: f.generation, Root: root, Objects: make(map[string][]byte)}
	for h, body := range objects {
		if f.lastObjects[h] == nil {
			f.peer.answer.Objects[h] = body
		}
	}
	f.lastObjects = objects
}

// fetch makes the syncer fetch the prepared answer.
func (f *testSyncer) fetch(tb testing.TB) {
	tb.Helper()
	r, err := f.syncer.fetch(context.Background(), coordmanifest.Fetch{From: coordmanifest.Source{Peer: "p"}, Since: f.syncer.latestGeneration()})
	if err != nil {
		tb.Fatal(err)
	}
	f.syncer.handleResult(context.Background(), coordmanifest.Fetch{From: coordmanifest.Source{Peer: "p"}}, r, nil)
}

func (f *testSyncer) acceptNext(tb testing.TB) {
	tb.Helper()
	f.prepareAnswer()
	f.fetch(tb)
}

// Measures the change of one pool at a daemon, whether or not it uses the pool:
// the bytes from a peer, and the time to verify, join and store the new
// manifest.
func BenchmarkChangeOfOnePool(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newTestSyncer(b, s)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				f.prepareAnswer()
				size = proto.Size(f.peer.answer)
				b.StartTimer()
				f.fetch(b)
			}
			b.ReportMetric(float64(size), "B/change")
		})
	}
}

// Measures the change of one host's capacity, which changes the shared object.
func BenchmarkChangeOfOneHost(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newTestSyncer(b, s)
			size := 0
			for b.Loop() {
				b.StopTimer()
				f.doc.Hosts[1].Capacity++
				f.doc.Hosts[1].Capacity %= 100
				f.doc.Hosts[1].Capacity++
				f.prepareAnswer()
				size = proto.Size(f.peer.answer)
				b.StartTimer()
				f.fetch(b)
			}
			b.ReportMetric(float64(size), "B/change")
		})
	}
}

// Measures the comparison of two manifests that differ in one pool, as the
// operators' command does it.
func BenchmarkDiff(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newTestSyncer(b, s)
			other := *f.doc
			other.Pools = append([]manifest.Pool(nil), f.doc.Pools...)
			other.Pools[1].User = "another"
			for b.Loop() {
				if len(manifest.Diff(f.doc, &other)) != 1 {
					b.Fatal("not one change")
				}
			}
		})
	}
}

// Measures the selection of peers and pollers among all hosts, which takes
// place once a second.
func BenchmarkUpdateHosts(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newTestSyncer(b, s)
			b.ReportAllocs()
			for b.Loop() {
				f.syncer.updateHosts()
			}
		})
	}
}

// Measures the memory of the latest manifest, decoded and encoded, after 70
// changes of one pool.
func BenchmarkMemoryOfManifest(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				f := newTestSyncer(b, s)
				for range 70 {
					f.acceptNext(b)
				}
				// The fixture's document and object maps belong to the peer and must not
				// count. The object bodies do count: the syncer keeps them as received.
				f.doc = nil
				f.peer.answer = nil
				f.lastObjects = nil
				with := capacitytest.MemoryInUse()
				latest := f.syncer.latest.Load()
				encoded := 0
				for _, body := range latest.objects {
					encoded += len(body)
				}
				runtime.KeepAlive(f.syncer)
				f.syncer = nil
				latest = nil
				b.ReportMetric(float64(with-capacitytest.MemoryInUse()), "B")
				b.ReportMetric(float64(encoded), "encoded-B")
			}
		})
	}
}

// Measures the delta for a daemon that missed the changes of an hour, at 6,900
// changes a day, as after a loss of contact between regions.
func BenchmarkDeltaOfAnHour(b *testing.B) {
	const changes = 6900 / 24
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				f := newTestSyncer(b, s)
				for range changes {
					f.acceptNext(b)
				}
				resp, err := f.syncer.FetchManifest(context.Background(), &peerv1.FetchManifestRequest{SinceGeneration: 1})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(proto.Size(resp)), "B/answer")
			}
		})
	}
}
