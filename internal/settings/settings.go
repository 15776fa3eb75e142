// Package settings reads the settings file of a daemon.
package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// Settings are the settings of one daemon. Settings shared by all daemons are
// in the manifest.
type Settings struct {
	// Name is the host's name, as in the manifest and the host list.
	Name string `json:"name"`
	// CallerListen, PeerListen and AdminListen are IP:port addresses.
	CallerListen string `json:"caller_listen"`
	PeerListen   string `json:"peer_listen"`
	AdminListen  string `json:"admin_listen"`
	// PeerAddress is the IP:port under which other daemons reach this one;
	// PeerListen if empty.
	PeerAddress      string `json:"peer_address"`
	AvailabilityZone string `json:"availability_zone"`
	// Capacity is the host's relative weight in placement, from 1 to 1000.
	Capacity int `json:"capacity"`
	// Peers are peer addresses to contact before the first manifest, in addition
	// to the host list, which may be empty or unavailable.
	Peers        []string `json:"peers"`
	Platform     Platform `json:"platform"`
	TLS          TLS      `json:"tls"`
	Limits       Limits   `json:"limits"`
	DrainTimeout Duration `json:"drain_timeout"`
	LogLevel     string   `json:"log_level"`
}

// Load reads and checks the settings file. It returns all problems of the
// content together as a findings.List; other errors come from the file system.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, list := Decode(data)
	if len(list) > 0 {
		return nil, list
	}
	return s, nil
}

// Decode decodes settings over the defaults and checks them.
func Decode(data []byte) (*Settings, findings.List) {
	s := Default()
	list, complete := findings.Decode(data, s)
	if !complete {
		return s, list
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.PeerListen
	}
	return s, list.Merge(s.validate())
}
