package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// large returns a loop with as many hosts and pools as in two years.
func large() *Loop {
	doc := &manifest.Document{}
	for i := range 5500 {
		a := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		doc.Hosts = append(doc.Hosts, manifest.Host{Name: a, Address: a, Capacity: 1 + i%4})
	}
	for i := range 6800 {
		p := manifest.Pool{Name: fmt.Sprintf("pool-%d", i)}
		for e := range 3 {
			p.Endpoints = append(p.Endpoints, manifest.Endpoint{Address: fmt.Sprintf("10.1.%d.%d:5432", i/80, i%80*3+e)})
		}
		doc.Pools = append(doc.Pools, p)
	}
	l := New(Config{Name: doc.Hosts[0].Name, Address: doc.Hosts[0].Address})
	l.setManifest(time.Now(), 1, doc)
	l.publish(time.Now())
	return l
}

// Measures what one lease renewal costs at full size; see docs/CAPACITY.md.
func BenchmarkPublishRenewal(b *testing.B) {
	l := large()
	b.ReportAllocs()
	for b.Loop() {
		l.dirty["pool-1"] = true
		l.publish(time.Now())
	}
}

// Measures what the loss and return of one host cost at full size; see
// docs/CAPACITY.md.
func BenchmarkPlaceHostChange(b *testing.B) {
	l := large()
	host := l.document.Hosts[9].Name
	version := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		version++
		state := platform.HostLeaving
		if version%2 == 0 {
			state = platform.HostLive
		}
		l.setHosts(time.Now(), platform.Hosts{Version: version, Hosts: []platform.Host{{Name: host, State: state}}})
		l.publish(time.Now())
	}
}

// Measures the first placement of all pools; see docs/CAPACITY.md.
func BenchmarkPlaceAll(b *testing.B) {
	for b.Loop() {
		large()
	}
}

// Measures one step of each machine of a daemon at full size, without calls to
// endpoints and peers; see docs/CAPACITY.md.
func BenchmarkTick(b *testing.B) {
	l := large()
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(tickInterval)
		for name, g := range l.active {
			l.step(now, name, g, claim.Tick{})
		}
		l.pending = l.pending[:0]
	}
	b.ReportMetric(float64(len(l.active)), "machines")
}
