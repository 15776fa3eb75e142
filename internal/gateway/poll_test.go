package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a host that is asked twice, and whose answers count twice for a
// majority, because its row was removed and written again a moment ago.
func TestHostThatIsListedAgainIsAskedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := newControl(&Gateway{cfg: Config{Host: "h1"}})
	c.members["h2"] = &member{hostRecord: hostRecord{Name: "h2", Address: "a2"}}
	c.former["a2"], c.former["a3"] = now, now
	g.Expect(c.mayUsePrimaries(now)).To(Equal(map[string]string{"h2": "a2", "former a3": "a3"}))
}
