package manifestsync

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// hostListTimeout is the time limit of one request for the host list. The first
// request delays the start of a daemon.
const hostListTimeout = 500 * time.Millisecond

// loadHostList reads the host list to find the first peers.
func (s *Syncer) loadHostList(ctx context.Context) {
	if s.cfg.HostList == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	if list, err := s.cfg.HostList.Hosts(ctx, 0); err == nil {
		s.hostList.CompareAndSwap(nil, &list) // SetHosts may have given a newer one.
	}
}

// updateHosts passes the hosts to the tracker. It takes them from the manifest
// and the host list, because the list may lag without bound; leaving hosts are
// included, as they still serve manifests. The bootstrap addresses are used
// until there is a manifest.
func (s *Syncer) updateHosts() {
	h, list := s.latest.Load(), s.hostList.Load()
	if s.hostsTracked && h == s.trackedSnapshot && list == s.trackedHostList {
		return
	}
	s.hostsTracked, s.trackedSnapshot, s.trackedHostList = true, h, list
	u := hostSet{addresses: make(map[string]bool)}
	u.add(s.cfg.Name, s.cfg.Address)
	if h != nil {
		for _, host := range h.doc.Hosts {
			u.add(host.Name, host.Address)
		}
	}
	if list != nil {
		for _, host := range list.Hosts {
			u.add(host.Name, host.Address)
		}
	}
	if h == nil {
		for _, address := range s.cfg.Bootstrap {
			u.add(address, address)
		}
	}
	s.tracker.SetHosts(u.hosts)
}

// hostSet collects hosts with distinct addresses.
type hostSet struct {
	addresses map[string]bool
	hosts     []placement.Host
}

func (u *hostSet) add(name, address string) {
	if u.addresses[address] {
		return
	}
	u.addresses[address] = true
	u.hosts = append(u.hosts, placement.Host{Name: name, Address: address, Weight: 1})
}
