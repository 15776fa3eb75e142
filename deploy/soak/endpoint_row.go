package soak

import (
	"context"
	"time"
)

const (
	// heartbeatInterval is how often an endpoint writes its row into the store.
	heartbeatInterval = 1200 * time.Millisecond
	// rowTimeout is the time without a heartbeat after which an endpoint's row is removed.
	rowTimeout = 3 * heartbeatInterval
	// rowChangeInterval is how often an endpoint checks its row for a change, which it writes at
	// once.
	rowChangeInterval = 10 * time.Millisecond
)

// startEndpoint serves the endpoint and lets it write its row. An endpoint without a proxy, and
// so without an address, gets a new one.
func (r *runner) startEndpoint(ctx context.Context, e *endpoint) error {
	l, err := listen()
	if err != nil {
		return err
	}
	r.atClose(func() { l.Close() })
	go serveEndpoint(r.group, e, l)
	if e.proxy == nil {
		if e.proxy, err = r.startProxy(e.id, l.Addr().String(), hostUserTimeout); err != nil {
			return err
		}
		r.atClose(e.proxy.close)
	} else {
		e.proxy.retarget(e.id, l.Addr().String())
	}
	e.address = e.proxy.address
	go r.heartbeat(ctx, e)
	return nil
}

// heartbeat writes the endpoint's row into the store at once after a change and otherwise at the
// heartbeat interval, while the endpoint runs. The row is removed once the endpoint has been
// silent for rowTimeout, or has left in the orderly way.
func (r *runner) heartbeat(ctx context.Context, e *endpoint) {
	type role struct {
		primary, draining bool
		startedAt         int64
	}
	var lastBeat time.Time
	var last role
	removed := false
	r.repeat(ctx, rowChangeInterval, func() {
		r.group.mu.Lock()
		silent, orderly := e.down || e.stalled(), e.removedRow
		now := role{e.primary, e.draining, e.startedAt}
		r.group.mu.Unlock()
		switch {
		case silent && !removed && (orderly || time.Since(lastBeat) > rowTimeout):
			removed = true
			r.store.put("servers", e.id, nil)
		case !silent && (removed || now != last || time.Since(lastBeat) > heartbeatInterval):
			removed, last, lastBeat = false, now, time.Now()
			r.writeRow(e, now.primary, now.draining, now.startedAt)
		}
	})
}

// writeRow writes the endpoint's row into the store.
func (r *runner) writeRow(e *endpoint, primary, draining bool, startedAt int64) {
	role, state := "replica", "ready"
	if primary {
		role = "primary"
	}
	if draining {
		state = "draining"
	}
	r.store.put("servers", e.id, map[string]any{
		"Service": r.group.name, "Address": e.address, "Zone": "zone-0", "Version": "1", "Capacity": 4,
		"State": state, "WarmupLeftMs": 0, "Seq": time.Now().UnixMilli(), "DbRole": role, "born": startedAt,
	})
}
