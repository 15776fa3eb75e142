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
		s.hostList.CompareAndSwap(nil, &list) // SetHosts may have stored a newer one.
	}
}

// updateHosts passes the hosts to the tracker. It takes them from the manifest
// and the host list, because the list may lag without bound; leaving hosts are
// included, as they still serve manifests. The bootstrap addresses are used
// until there is a manifest.
func (s *Syncer) updateHosts() {
	latest, list := s.latest.Load(), s.hostList.Load()
	if s.hostsTracked && latest == s.trackedSnapshot && list == s.trackedHostList {
		return
	}
	s.hostsTracked, s.trackedSnapshot, s.trackedHostList = true, latest, list
	set := hostSet{addresses: make(map[string]bool)}
	set.add(s.cfg.Name, s.cfg.Address)
	if latest != nil {
		for _, host := range latest.doc.Hosts {
			set.add(host.Name, host.Address)
		}
	}
	if list != nil {
		for _, host := range list.Hosts {
			set.add(host.Name, host.Address)
		}
	}
	if latest == nil {
		for _, address := range s.cfg.Bootstrap {
			set.add(address, address)
		}
	}
	s.tracker.SetHosts(set.hosts)
}

// hostSet collects hosts with distinct addresses.
type hostSet struct {
	addresses map[string]bool
	hosts     []placement.Host
}

func (set *hostSet) add(name, address string) {
	if set.addresses[address] {
		return
	}
	set.addresses[address] = true
	set.hosts = append(set.hosts, placement.Host{Name: name, Address: address, Weight: 1})
}
