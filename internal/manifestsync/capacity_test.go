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

// answers is a peer that serves prepared answers.
type answers struct {
	resp *peerv1.FetchManifestResponse
}

func (a *answers) FetchManifest(context.Context, string, *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	return a.resp, nil
}

// fixture is a syncer that holds one generation after another.
type fixture struct {
	syncer *Syncer
	peer   *answers
	doc    *manifest.Document
	last   map[string][]byte
	number uint64
}

func newFixture(tb testing.TB, s capacitytest.Size) *fixture {
	tb.Helper()
	data, err := os.ReadFile("../../examples/cooperative.json")
	if err != nil {
		tb.Fatal(err)
	}
	doc, list := manifest.Decode(data)
	if len(list) > 0 {
		tb.Fatal(list)
	}
	f := &fixture{peer: &answers{}, doc: capacitytest.ResizeManifest(doc, s)}
	f.syncer = New(Config{Name: "entry-0000", Peers: f.peer, Metrics: metrics.NewRegistry(), Log: zerolog.Nop()})
	f.accept(tb)
	return f
}

// prepare makes the peer's answer for the next generation, in which the user of
// one pool differs.
func (f *fixture) prepare() {
	f.number++
	f.doc.Pools[f.number*7919%uint64(len(f.doc.Pools))].User = fmt.Sprint("user-", f.number)
	history := []manifest.Acceptance{{Generation: f.number - 1}}
	root, objects := manifest.SplitAfter(f.doc, history)
	f.peer.resp = &peerv1.FetchManifestResponse{Generation: f.number, Root: root, Objects: make(map[string][]byte)}
	for h, body := range objects {
		if f.last[h] == nil {
			f.peer.resp.Objects[h] = body
		}
	}
	f.last = objects
}

// take fetches the prepared answer.
func (f *fixture) take(tb testing.TB) {
	tb.Helper()
	r, err := f.syncer.fetch(context.Background(), coordmanifest.Fetch{From: coordmanifest.Source{Peer: "p"}, Since: f.syncer.generation()})
	if err != nil {
		tb.Fatal(err)
	}
	f.syncer.finish(context.Background(), coordmanifest.Fetch{From: coordmanifest.Source{Peer: "p"}}, r, nil)
}

func (f *fixture) accept(tb testing.TB) {
	tb.Helper()
	f.prepare()
	f.take(tb)
}

// Measures the change of one pool at a daemon, whether or not it uses the pool:
// bytes from a peer, and the time to verify, join and hold the new manifest.
func BenchmarkChangeOfOnePool(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newFixture(b, s)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				f.prepare()
				size = proto.Size(f.peer.resp)
				b.StartTimer()
				f.take(b)
			}
			b.ReportMetric(float64(size), "B/change")
		})
	}
}

// Measures the change of one host's capacity, which changes the shared object.
func BenchmarkChangeOfOneHost(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newFixture(b, s)
			size := 0
			for b.Loop() {
				b.StopTimer()
				f.doc.Hosts[1].Capacity++
				f.doc.Hosts[1].Capacity %= 100
				f.doc.Hosts[1].Capacity++
				f.prepare()
				size = proto.Size(f.peer.resp)
				b.StartTimer()
				f.take(b)
			}
			b.ReportMetric(float64(size), "B/change")
		})
	}
}

// Measures the comparison of two manifests that differ in one pool, as the
// operator's command makes it.
func BenchmarkDiff(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newFixture(b, s)
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

// Measures the choice of peers and pollers among all hosts, once a second.
func BenchmarkUpdateHosts(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			f := newFixture(b, s)
			b.ReportAllocs()
			for b.Loop() {
				f.syncer.updateHosts()
			}
		})
	}
}

// Measures the memory of a manifest held: decoded and encoded objects, after 70
// changes of one pool.
func BenchmarkMemoryOfManifest(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				f := newFixture(b, s)
				for range 70 {
					f.accept(b)
				}
				// The document of the fixture and its objects belong to the peer. The
				// syncer keeps bodies as they arrive, so that it must have its own.
				f.doc = nil
				f.peer.resp = nil
				f.last = nil
				with := capacitytest.MemoryInUse()
				h := f.syncer.held.Load()
				encoded := 0
				for _, body := range h.objects {
					encoded += len(body)
				}
				runtime.KeepAlive(f.syncer)
				f.syncer = nil
				h = nil
				b.ReportMetric(float64(with-capacitytest.MemoryInUse()), "B")
				b.ReportMetric(float64(encoded), "encoded-B")
			}
		})
	}
}

// Measures what a daemon is sent that missed the changes of an hour, at 6,900
// changes a day, as after a loss of contact between regions.
func BenchmarkDeltaOfAnHour(b *testing.B) {
	const changes = 6900 / 24
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				f := newFixture(b, s)
				for range changes {
					f.accept(b)
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
