package gateway

import "github.com/cockroachdb/errors"

// Reasons for which a host is not ready.
var (
	errStopping        = errors.New("the host stops")
	errNoConfiguration = errors.New("no configuration is known yet")
	errNoEndpoints     = errors.New("no endpoint is known yet")
)

// Ready returns nil if the host should get new sessions. It may be called from
// any goroutine.
func (gw *Gateway) Ready() error {
	if gw.catalog().Version == 0 {
		return errNoConfiguration
	}
	for _, g := range *gw.groupsNow.Load() {
		g.mu.Lock()
		known := g.primary != "" || len(g.targets) > 0
		g.mu.Unlock()
		if known {
			return gw.stopping()
		}
	}
	return errNoEndpoints
}

// stopping returns errStopping once Drain has begun.
func (gw *Gateway) stopping() error {
	if gw.drains.Load() {
		return errStopping
	}
	return nil
}
