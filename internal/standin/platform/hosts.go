package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// hostHistory holds all versions of the host list, oldest first.
type hostHistory []hostVersion

// hostVersion is one version of the host list and the time at which it was set.
type hostVersion struct {
	hosts platform.HostListSnapshot
	setAt time.Time
}

// at returns the list as of the time, or the first list if the time is earlier.
func (h hostHistory) at(t time.Time) platform.HostListSnapshot {
	for i := len(h) - 1; i > 0; i-- {
		if !h[i].setAt.After(t) {
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
	s.hosts = append(s.hosts, hostVersion{hosts: next, setAt: time.Now()})
}

// serveHosts serves the host list as of HostListLagMs ago, without hosts if the client
// already has that version.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	list := s.hosts.at(time.Now().Add(-time.Duration(f.HostListLagMs) * time.Millisecond))
	s.mu.Unlock()
	if f.HostListOutage {
		panic(http.ErrAbortHandler)
	}
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64) // Without a valid number, the whole list is returned.
	if list.Version <= since {
		list.Hosts = nil
	}
	writeJSON(w, list)
}

// serveSetHosts publishes the host list in the request.
func (s *Server) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []platform.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHosts(hosts)
}
