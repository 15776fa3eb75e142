package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a host that is polled twice, so that its answers count twice towards a
// majority, because its row was removed and written again.
func TestRelistedHostIsPolledOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := newController(&Gateway{cfg: Config{Host: "h1"}})
	c.members["h2"] = &member{hostRecord: hostRecord{Name: "h2", Address: "a2"}}
	c.departedHosts["a2"], c.departedHosts["a3"] = now, now
	g.Expect(c.primaryUsers(now)).To(Equal(map[string]string{"h2": "a2", "former a3": "a3"}))
}
