package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// hostHistory keeps all versions of the host list, oldest first.
type hostHistory []hostVersion

// hostVersion is one version and the time it was set.
type hostVersion struct {
	hosts platform.HostListSnapshot
	since time.Time
}

// at returns the list as it was at a time, or the first one.
func (h hostHistory) at(t time.Time) platform.HostListSnapshot {
	for i := len(h) - 1; i > 0; i-- {
		if !h[i].since.After(t) {
			return h[i].hosts
		}
	}
	return h[0].hosts
}

// SetHosts publishes the next version of the host list.
func (s *Server) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := platform.HostListSnapshot{Version: uint64(len(s.hosts)) + 1, Hosts: hosts}
	s.hosts = append(s.hosts, hostVersion{hosts: next, since: time.Now()})
}

// serveHosts returns the list as old as the lag switch says.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	list := s.hosts.at(time.Now().Add(-time.Duration(f.HostListLagMs) * time.Millisecond))
	s.mu.Unlock()
	if f.HostListOutage {
		panic(http.ErrAbortHandler)
	}
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64) // Without a number, the whole list is returned.
	if list.Version <= since {
		list.Hosts = nil
	}
	writeJSON(w, list)
}

// serveSetHosts publishes a list.
func (s *Server) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []platform.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHosts(hosts)
}
