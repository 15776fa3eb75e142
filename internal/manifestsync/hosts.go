package manifestsync

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// hostListTimeout bounds one request for the host list. The first one delays the
// start of a daemon.
const hostListTimeout = 500 * time.Millisecond

// findHosts reads the host list, for peers to start from.
func (s *Syncer) findHosts(ctx context.Context) {
	if s.cfg.HostList == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	if list, err := s.cfg.HostList.Hosts(ctx, 0); err == nil {
		s.listed.CompareAndSwap(nil, &list) // SetHosts may have given a newer one.
	}
}

// updateHosts tells the tracker the hosts of the manifest and the host list.
// Both are used because the list may lag without bound; leaving hosts still
// serve manifests. The bootstrap addresses count until a manifest is held.
func (s *Syncer) updateHosts() {
	h, list := s.held.Load(), s.listed.Load()
	if s.known && h == s.knownHeld && list == s.knownList {
		return
	}
	s.known, s.knownHeld, s.knownList = true, h, list
	u := union{seen: make(map[string]bool)}
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

// union collects hosts by address.
type union struct {
	seen  map[string]bool
	hosts []placement.Host
}

func (u *union) add(name, address string) {
	if u.seen[address] {
		return
	}
	u.seen[address] = true
	u.hosts = append(u.hosts, placement.Host{Name: name, Address: address, Weight: 1})
}
