// Package membership tells which hosts are live, leaving or suspected.
//
// Inputs are the configured hosts, versions of the platform's host list, which
// may lag without bound, heartbeats and time. Guarantees: an older version of
// the list never replaces a newer one; a heartbeat that announces a leave
// counts at once, for that process of the host only, so that a replacement of
// the host under the same name takes part again.
//
// Suspected hosts remain in placement. Each daemon suspects others by its own
// heartbeats only, so dropping them would give daemons different rankings and
// move groups although their owners are alive. A claim asks for pre-votes and
// fences the endpoints anyway, so a dead candidate costs its rank's delay only.
package membership

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// SuspectAfter is the time without a heartbeat after which a host that was
// heard of before is suspected.
const SuspectAfter = 30 * time.Second

// Members is the membership as one daemon sees it. It is not safe for
// concurrent use.
type Members struct {
	configured []Host
	version    uint64
	listed     map[string]bool
	heard      map[string]heard
}

type heard struct {
	at          time.Time
	incarnation uint64
	leaving     bool
}

// New returns an empty membership.
func New() *Members {
	return &Members{listed: make(map[string]bool), heard: make(map[string]heard)}
}

// Configure sets the configured hosts.
func (m *Members) Configure(hosts []Host) {
	m.configured = hosts
	known := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		known[h.Name] = true
	}
	for n := range m.heard {
		if !known[n] {
			delete(m.heard, n)
		}
	}
}

// SetHostList takes a version of the host list. It returns false and changes
// nothing if the version is not newer than the last one.
func (m *Members) SetHostList(version uint64, hosts []ListedHost) bool {
	if version <= m.version {
		return false
	}
	m.version = version
	m.listed = make(map[string]bool, len(hosts))
	for _, h := range hosts {
		m.listed[h.Name] = h.Leaving
	}
	return true
}

// ListVersion returns the version of the list in use; 0 before the first one.
func (m *Members) ListVersion() uint64 { return m.version }

// RecordHeartbeat takes a heartbeat and reports whether the host's part in placement
// changed.
func (m *Members) RecordHeartbeat(now time.Time, h Heartbeat) bool {
	before := m.leaving(h.Name)
	old := m.heard[h.Name]
	leaving := h.Leaving || old.leaving && old.incarnation == h.Incarnation
	m.heard[h.Name] = heard{at: now, incarnation: h.Incarnation, leaving: leaving}
	return m.leaving(h.Name) != before
}

// State returns the host's state at now.
func (m *Members) State(now time.Time, name string) State {
	if m.leaving(name) {
		return Leaving
	}
	if h, ok := m.heard[name]; ok && now.Sub(h.at) >= SuspectAfter {
		return Suspected
	}
	return Live
}

func (m *Members) leaving(name string) bool { return m.listed[name] || m.heard[name].leaving }

// Placeable returns the configured hosts that are not leaving.
func (m *Members) Placeable() []placement.Host {
	hosts := make([]placement.Host, 0, len(m.configured))
	for _, h := range m.configured {
		if !m.leaving(h.Name) {
			hosts = append(hosts, h.Host)
		}
	}
	return hosts
}
