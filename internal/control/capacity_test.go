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

// resizedDocument returns the cooperative's manifest with the given numbers of
// hosts and pools. Each call returns a new document, as a fetch does.
func resizedDocument(tb testing.TB, s capacitytest.Size) *manifest.Document {
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

// newResizedLoop returns the loop of the first host with that manifest in force.
func newResizedLoop(tb testing.TB, s capacitytest.Size) *Loop {
	tb.Helper()
	doc := resizedDocument(tb, s)
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
			doc := resizedDocument(b, s)
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
			l := newResizedLoop(b, s)
			docs := []*manifest.Document{resizedDocument(b, s), resizedDocument(b, s)}
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

// Measures a heartbeat with which a host starts to leave or returns, up to the
// next View.
func BenchmarkChangeOfOneHost(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			l := newResizedLoop(b, s)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				h := l.document.Hosts[1]
				l.handleHeartbeat(time.Now(), &peerv1.HeartbeatRequest{
					Host: h.Name, Address: h.Address, Incarnation: uint64(n / 2), Leaving: n%2 == 0,
				})
				l.publish()
				l.pending = nil
			}
		})
	}
}

// Measures the publication of a View in which one group changed. Each status
// answer of an owned group causes one.
func BenchmarkPublishOneGroup(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			l := newResizedLoop(b, s)
			b.ReportAllocs()
			for b.Loop() {
				l.changedGroups["members-0001"] = true
				l.publish()
			}
		})
	}
}

// Measures one tick of a daemon with n machines, each of which has just received
// a heartbeat of its group's owner.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			l := newResizedLoop(b, capacitytest.Size{Hosts: 3, Pools: n})
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				for name, g := range l.activeGroups {
					l.stepMachine(now, name, g, claim.HeartbeatReceived{Owner: claim.Owner{Address: "x", Incarnation: 2, Term: 1}})
					l.stepMachine(now, name, g, claim.Tick{})
				}
				l.publish()
				l.pending = nil
			}
		})
	}
}

// Measures the memory of one daemon's control state: the manifest and its View.
// manifestsync measures the manifest's encoded objects.
func BenchmarkMemoryOfControlState(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				before := capacitytest.MemoryInUse()
				doc := resizedDocument(b, s)
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

// Measures a new version of the host list in which a tenth of the hosts starts to
// leave or returns.
func BenchmarkChangeOfTenthOfHosts(b *testing.B) {
	for _, s := range capacitytest.Sizes {
		b.Run(s.String(), func(b *testing.B) {
			l := newResizedLoop(b, s)
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
