package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// Reasons for which a host is not ready.
var (
	errStopping        = errors.New("the host stops")
	errNoConfiguration = errors.New("no configuration is known yet")
	errNoEndpoints     = errors.New("no endpoint is known yet")
	errKeysUnproven    = errors.New("the configuration may be out of date, so that no key is accepted")
	errCutOff          = errors.New("the host is cut off from a primary and from most hosts")
)

// Ready returns nil if the host should receive new sessions, otherwise the reason why
// not. It may be called from any goroutine.
func (gw *Gateway) Ready() error {
	if gw.catalog().Version == 0 {
		return errNoConfiguration
	}
	if !gw.keysAccepted(gw.catalogAge(boottime.Now())) {
		return errKeysUnproven
	}
	known := false
	for _, g := range *gw.currentGroups.Load() {
		g.mu.Lock()
		known = known || g.primary != "" || len(g.targets) > 0
		cutOff := g.cutOff(boottime.Now())
		g.mu.Unlock()
		if cutOff {
			return errCutOff
		}
	}
	if !known {
		return errNoEndpoints
	}
	return gw.stopping()
}

// stopping returns errStopping once Drain has begun.
func (gw *Gateway) stopping() error {
	if gw.draining.Load() {
		return errStopping
	}
	return nil
}
