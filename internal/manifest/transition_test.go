package manifest_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

func poolOf(addresses ...string) *manifest.Document {
	p := manifest.Pool{Name: "members"}
	for _, a := range addresses {
		p.Endpoints = append(p.Endpoints, manifest.Endpoint{Name: a, Address: a})
	}
	return &manifest.Document{Pools: []manifest.Pool{p}}
}

// Guards against two lists of endpoints whose majorities do not overlap, with
// which two daemons could own a group at once.
func TestEndpointsChangeOneAtATime(t *testing.T) {
	g := NewWithT(t)
	old := poolOf("a", "b", "c")
	g.Expect(manifest.CheckTransition(nil, old)).To(BeEmpty())
	g.Expect(manifest.CheckTransition(old, poolOf("a", "b", "c", "d"))).To(BeEmpty())
	g.Expect(manifest.CheckTransition(old, poolOf("a", "b"))).To(BeEmpty())
	for _, next := range []*manifest.Document{poolOf("a", "b", "d"), poolOf("a"), poolOf("a", "b", "c", "d", "e")} {
		list := manifest.CheckTransition(old, next)
		g.Expect(list).To(HaveLen(1))
		g.Expect(list[0].Pointer).To(Equal("/pools/0/endpoints"))
	}
}
