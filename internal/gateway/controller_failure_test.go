package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/recovery"
)

// absentStore is a store that refuses every call.
type absentStore struct{}

func (absentStore) Changes(context.Context, TableName, uint64, time.Duration) ([]rows.Row, uint64, error) {
	return nil, 0, ErrStoreRefused
}

func (absentStore) List(context.Context, TableName) (Listing, error) {
	return Listing{}, ErrStoreRefused
}

func (absentStore) Write(context.Context, TableName, string, uint64, []byte, ...RowVersion) (uint64, error) {
	return 0, ErrStoreRefused
}

func (absentStore) Delete(context.Context, TableName, string, uint64, ...RowVersion) error {
	return ErrStoreRefused
}

// Guards against a host that goes on with damaged control state after a panic, and against
// one that ends without a graceful stop or waits for the controller for ever.
func TestHostStopsAfterControllerPanic(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*controller){
		"task":      func(c *controller) { c.submitAndWait(func() { panic("injected") }) },
		"goroutine": func(c *controller) { c.spawn("test", func() { panic("injected") }) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			registry := metrics.NewRegistry()
			gw := New(Config{Host: "h1", Store: absentStore{}, Metrics: registry, Grace: 3 * time.Second})
			ended := make(chan error, 1)
			go func() { ended <- gw.Run(t.Context()) }()
			g.Expect(gw.controller.submitAndWait(func() {})).To(BeTrue())
			fail(gw.controller)
			g.Eventually(gw.stopping, time.Second).Should(MatchError(errStopping))
			g.Expect(ended).NotTo(Receive(), "the load balancer still sends sessions")
			g.Expect(gw.controller.submitAndWait(func() {})).To(BeFalse())
			var err error
			g.Eventually(ended, 5*time.Second).Should(Receive(&err))
			g.Expect(err).To(MatchError(recovery.ErrPanic))
			g.Expect(registry.Count(metrics.Panics)).To(Equal(int64(1)))
		})
	}
}
