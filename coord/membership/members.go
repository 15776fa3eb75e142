// Package membership determines which hosts are live, leaving or suspected.
//
// It uses the configured hosts, versions of the platform's host list, heartbeats and the
// time. The host list may be out of date by any amount.
//
// Guarantees: An older version of the list never replaces a newer one. A heartbeat that
// announces that the host leaves has effect at once, but only for that process of the
// host, so that a new process under the same name takes part again.
//
// Suspected hosts remain in placement. Each daemon suspects others only by the heartbeats
// that it receives itself. If it dropped them from placement, daemons would compute
// different rankings, and groups would move although their owners are alive. A claim
// requests pre-votes and fences the endpoints in any case, so that a candidate that is
// down costs only the delay of its rank.
package membership

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// SuspectAfter is the time since its last heartbeat after which a host is suspected. A host
// that has not sent any is not suspected.
const SuspectAfter = 30 * time.Second

// Members is the membership as one daemon sees it. It is not safe for
// concurrent use.
type Members struct {
	configured []Host
	version    uint64
	// listed holds, for each host of the list, whether it is marked as leaving.
	listed     map[string]bool
	heartbeats map[string]receivedHeartbeat
}

type receivedHeartbeat struct {
	at          time.Time
	incarnation uint64
	leaving     bool
}

// New returns an empty membership.
func New() *Members {
	return &Members{listed: make(map[string]bool), heartbeats: make(map[string]receivedHeartbeat)}
}

// Configure sets the configured hosts.
func (m *Members) Configure(hosts []Host) {
	m.configured = hosts
	known := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		known[h.Name] = true
	}
	for n := range m.heartbeats {
		if !known[n] {
			delete(m.heartbeats, n)
		}
	}
}

// SetHostList replaces the host list. It returns false, and changes nothing, if the
// version is not newer than the one in use.
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

// ListVersion returns the version of the host list in use; 0 before the first one.
func (m *Members) ListVersion() uint64 { return m.version }

// RecordHeartbeat records a heartbeat and reports whether it changed the host's part in
// placement.
func (m *Members) RecordHeartbeat(now time.Time, h Heartbeat) bool {
	before := m.leaving(h.Name)
	old := m.heartbeats[h.Name]
	leaving := h.Leaving || old.leaving && old.incarnation == h.Incarnation
	m.heartbeats[h.Name] = receivedHeartbeat{at: now, incarnation: h.Incarnation, leaving: leaving}
	return m.leaving(h.Name) != before
}

// State returns the host's state at now.
func (m *Members) State(now time.Time, name string) State {
	if m.leaving(name) {
		return Leaving
	}
	if h, ok := m.heartbeats[name]; ok && now.Sub(h.at) >= SuspectAfter {
		return Suspected
	}
	return Live
}

func (m *Members) leaving(name string) bool { return m.listed[name] || m.heartbeats[name].leaving }

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
