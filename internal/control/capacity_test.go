package control

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/internal/capacitytest"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// sizedDocument returns the cooperative's manifest at another size. Each call
// returns a document of its own, as a fetch does.
func sizedDocument(tb testing.TB, s capacitytest.Size) *manifest.Document {
	tb.Helper()
	data, err := os.ReadFile("../../examples/cooperative.json")
	if err != nil {
		tb.Fatal(err)
	}
	doc, list := manifest.Decode(data)
	if len(list) > 0 {
		tb.Fatal(list)
	}
	return capacitytest.ResizeManifest(doc, s)
}

// sizedLoop returns a loop of the first host with the manifest in force.
func sizedLoop(tb testing.TB, s capacitytest.Size) *Loop {
	tb.Helper()
	doc := sizedDocument(tb, s)
	l := New(Config{Name: doc.Hosts[0].Name, Address: doc.Hosts[0].Address, Incarnation: 1})
	l.setManifest(time.Now(), 1, doc)
	l.publish()
	l.pending = nil
	return l
}

// Measures the first manifest: placement of all pools and the first View.
func BenchmarkFirstManifest(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			doc := sizedDocument(b, s)
			b.ReportAllocs()
			for b.Loop() {
				l := New(Config{Name: doc.Hosts[0].Name, Address: doc.Hosts[0].Address, Incarnation: 1})
				l.setManifest(time.Now(), 1, doc)
				l.publish()
			}
		})
	}
}

// Measures a manifest that changes one pool, up to the next View.
func BenchmarkChangeOfOnePool(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			l := sizedLoop(b, s)
			docs := []*manifest.Document{sizedDocument(b, s), sizedDocument(b, s)}
			docs[0].Pools[1].User = "other"
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				l.setManifest(time.Now(), l.generation+1, docs[n%2])
				l.publish()
				l.pending = nil
			}
		})
	}
}

// Measures a host that begins or ends its leave, up to the next View.
func BenchmarkChangeOfOneHost(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			l := sizedLoop(b, s)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				h := l.document.Hosts[1]
				l.heard(time.Now(), &peerv1.HeartbeatRequest{
					Host: h.Name, Address: h.Address, Incarnation: uint64(n / 2), Leaving: n%2 == 0,
				})
				l.publish()
				l.pending = nil
			}
		})
	}
}

// Measures the View after the change of one group, as each status answer of an
// owned group makes one.
func BenchmarkPublishOneGroup(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			l := sizedLoop(b, s)
			b.ReportAllocs()
			for b.Loop() {
				l.dirty["members-0001"] = true
				l.publish()
			}
		})
	}
}

// Measures one tick of a daemon with a part in n groups, which all hear from
// their owners.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			l := sizedLoop(b, capacitytest.Size{Hosts: 3, Pools: n})
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				for name, g := range l.active {
					l.step(now, name, g, claim.HeartbeatReceived{Owner: claim.Owner{Address: "x", Incarnation: 2, Term: 1}})
					l.step(now, name, g, claim.Tick{})
				}
				l.publish()
				l.pending = nil
			}
		})
	}
}

// Measures the memory of the control state of one daemon: the manifest and its
// View, with an owner known for each group. The manifest's encoded objects are
// measured in manifestsync.
func BenchmarkMemoryOfControlState(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				before := capacitytest.MemoryInUse()
				doc := sizedDocument(b, s)
				document := capacitytest.MemoryInUse() - before
				l := New(Config{Name: doc.Hosts[0].Name, Address: doc.Hosts[0].Address, Incarnation: 1})
				l.setManifest(time.Now(), 1, doc)
				l.publish()
				l.pending = nil
				hosts := platform.HostListSnapshot{Version: 1}
				for _, h := range doc.Hosts {
					hosts.Hosts = append(hosts.Hosts, platform.Host{Name: h.Name, Address: h.Address, State: platform.HostLive})
				}
				state := capacitytest.MemoryInUse() - before - document
				b.ReportMetric(float64(document), "document-B")
				b.ReportMetric(float64(state), "state-B")
				runtime.KeepAlive(hosts)
				runtime.KeepAlive(l)
			}
		})
	}
}

// Measures a list version in which a tenth of the hosts leaves.
func BenchmarkChangeOfATenthOfTheHosts(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			l := sizedLoop(b, s)
			random := rand.New(rand.NewPCG(1, 1))
			for n := 0; b.Loop(); n++ {
				hosts := platform.HostListSnapshot{Version: uint64(n) + 1}
				for i, h := range l.document.Hosts {
					state := platform.HostLive
					if i > 0 && n%2 == 0 && random.IntN(10) == 0 {
						state = platform.HostLeaving
					}
					hosts.Hosts = append(hosts.Hosts, platform.Host{Name: h.Name, State: state})
				}
				l.SetHosts(hosts)
				(<-l.events)(time.Now())
				l.publish()
				l.pending = nil
			}
		})
	}
}
