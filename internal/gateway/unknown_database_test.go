package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a host that says a database does not exist although a configuration that
// it has not received has added it (CONFIG on svfb-trestle-grown trouble-1: refused 5.5 s
// after the acknowledgement).
func TestUnknownDatabaseIsDeniedOnlyByCurrentConfiguration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	answer := func(host, database string) gateway.Code {
		return f.caller(host, database).do(session.Statement{ID: "q", Op: session.OpRead, Text: "READ x"}).Code
	}
	g.Expect(answer("h1", "added")).To(Equal(gateway.CodeNoDatabase))

	f.mu.Lock()
	f.partition["h1"] = 1
	f.mu.Unlock()
	f.store.setUnavailable("h1", true)
	f.store.putRow(gateway.TableCatalog, "config", gateway.Catalog{
		Version: 2, IdleTransactionTimeout: 2 * time.Second,
		Groups:    map[string]gateway.Group{"g": {Name: "g", MaxConnections: manyConnections}},
		Databases: map[string]gateway.Database{"added": {Name: "added", Group: "g", Timeout: time.Second}},
	})
	g.Eventually(func() gateway.Code { return answer("h2", "added") }, 3*time.Second, 50*time.Millisecond).Should(Equal(gateway.CodeNone))
	g.Eventually(func() gateway.Code { return answer("h1", "added") }, 4*time.Second, 50*time.Millisecond).Should(Equal(gateway.CodeBusy))
	g.Consistently(func() gateway.Code { return answer("h1", "added") }, time.Second, 50*time.Millisecond).Should(Equal(gateway.CodeBusy))

	f.mu.Lock()
	f.partition["h1"] = 0
	f.mu.Unlock()
	f.store.setUnavailable("h1", false)
	g.Eventually(func() gateway.Code { return answer("h1", "added") }, 4*time.Second, 50*time.Millisecond).Should(Equal(gateway.CodeNone))
	// Another host's message brings the configuration; that it is the newest is known only
	// from an answer to this host's own call.
	g.Eventually(func() gateway.Code { return answer("h1", "removed") }, 4*time.Second, 50*time.Millisecond).Should(Equal(gateway.CodeNoDatabase))
}
