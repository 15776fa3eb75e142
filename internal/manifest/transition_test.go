package manifest_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

func poolWithEndpoints(addresses ...string) *manifest.Document {
	p := manifest.Pool{Name: "members"}
	for _, a := range addresses {
		p.Endpoints = append(p.Endpoints, manifest.Endpoint{Name: a, Address: a})
	}
	return &manifest.Document{Pools: []manifest.Pool{p}}
}

// Guards against two endpoint lists whose majorities do not overlap: with them,
// two daemons could own a group at once.
func TestEndpointsChangeOneAtATime(t *testing.T) {
	g := NewWithT(t)
	old := poolWithEndpoints("a", "b", "c")
	g.Expect(manifest.CheckTransition(nil, old)).To(BeEmpty())
	g.Expect(manifest.CheckTransition(old, poolWithEndpoints("a", "b", "c", "d"))).To(BeEmpty())
	g.Expect(manifest.CheckTransition(old, poolWithEndpoints("a", "b"))).To(BeEmpty())
	for _, next := range []*manifest.Document{poolWithEndpoints("a", "b", "d"), poolWithEndpoints("a"), poolWithEndpoints("a", "b", "c", "d", "e")} {
		list := manifest.CheckTransition(old, next)
		g.Expect(list).To(HaveLen(1))
		g.Expect(list[0].Pointer).To(Equal("/pools/0/endpoints"))
	}
}
