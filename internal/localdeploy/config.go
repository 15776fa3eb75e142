// Package localdeploy runs a whole deployment on the loopback interface in one
// process: stand-ins for the platform and the database groups, and the daemons in
// front of them. The demo, the measurements and the tests use it.
package localdeploy

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/settings"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Config describes a deployment.
type Config struct {
	// Hosts is the number of daemons.
	Hosts int
	// AvailabilityZones are assigned to hosts and to the endpoints of each group in
	// turn.
	AvailabilityZones []string
	// Pools are the names of the pools; each has its own database group.
	Pools []string
	// Endpoints is the number of endpoints in each group.
	Endpoints int
	// Database configures each endpoint.
	Database database.Config
	// Rules apply to every pool.
	Rules Rules
	// NewScheduler replaces the daemons' scheduler; nil keeps the default one.
	NewScheduler func() admission.Scheduler
	// PrimaryOnly makes the daemons send all reads to primaries.
	PrimaryOnly bool
	// TLS is the TLS configuration of each daemon.
	TLS settings.TLS
	Log zerolog.Logger
}

// Rules are the statement classes, read kinds and write kinds of a pool.
type Rules struct {
	Classes []manifest.Class
	Reads   []manifest.ReadKind
	Writes  []manifest.WriteKind
}

// bootstrapPeers is the largest number of peers in each host's settings.
const bootstrapPeers = 3

// startTimeout bounds the time that Start waits until every pool has an owner.
const startTimeout = 15 * time.Second

func (c Config) withDefaults() Config {
	if c.Hosts == 0 {
		c.Hosts = 3
	}
	if len(c.AvailabilityZones) == 0 {
		c.AvailabilityZones = []string{"az-1", "az-2", "az-3"}
	}
	if len(c.Pools) == 0 {
		c.Pools = []string{"members"}
	}
	if c.Endpoints == 0 {
		c.Endpoints = 3
	}
	if c.Database.Slots == 0 {
		c.Database.Slots = 3
	}
	if c.Database.Connections == 0 {
		c.Database.Connections = 50
	}
	if len(c.Rules.Reads) == 0 {
		c.Rules.Reads = []manifest.ReadKind{{Name: "lookup", MaxStalenessMs: 3000, Match: manifest.Match{Tag: "lookup"}}}
	}
	return c
}
