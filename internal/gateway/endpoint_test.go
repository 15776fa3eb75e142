package gateway

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a change of an endpoint's row that writes its ID while another goroutine reads
// it, which the race detector reports (seen in tests beside load).
func TestChangedRowLeavesTheIDUntouched(t *testing.T) {
	g := NewWithT(t)
	c := newController(New(Config{Host: "h0"}))
	gr := newGroup("g", c.gw.pool)
	e := Endpoint{ID: "e1", Group: "g", Address: "a1", Slots: 2}
	gr.targets["e1"] = newTarget(gr, e)
	known := gr.targets["e1"]
	var wg sync.WaitGroup
	wg.Go(func() { g.Expect(known.ID).To(Equal("e1")) })
	e.Draining, e.Slots, e.AvailabilityZone = true, 3, "z"
	c.updateGroup(time.Now(), gr, Group{Name: "g", MaxConnections: 60}, map[string]Endpoint{"e1": e}, hostsByZone{})
	wg.Wait()
	g.Expect(gr.targets["e1"].Endpoint).To(Equal(e))
}
