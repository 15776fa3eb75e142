package measure

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// serviceTime is how long a short statement holds a slot. The design gives no
// value. With 10 ms, a 10-fold peak would saturate the machine that runs the
// measurement; with 25 ms, it is 2,250 requests per second for 13 daemons in one
// process.
const serviceTime = 25 * time.Millisecond

// Deployment describes the size and the limits of an organisation's deployment;
// see section 1.1 of the design.
type Deployment struct {
	Name string
	// Hosts is the number of hosts, each of which accepts callers.
	Hosts             int
	AvailabilityZones []string
	// CallerRoundTrip is the network round-trip time between callers and hosts.
	CallerRoundTrip time.Duration
	// Pools are the names of the pools.
	Pools []string
	// Endpoints is the number of endpoints of each pool.
	Endpoints int
	// Slots and Connections are the limits of each endpoint.
	Slots       int
	Connections int
	// ConnectDelay is how long an endpoint takes to open a new connection.
	ConnectDelay time.Duration
	// ServiceTime is how long a short statement holds a slot; the capacity of a
	// primary is Slots / ServiceTime.
	ServiceTime time.Duration
}

// Cooperative returns the deployment of the co-operative.
func Cooperative() Deployment {
	return Deployment{
		Name:              "cooperative",
		Hosts:             13,
		AvailabilityZones: []string{"az-1", "az-2", "az-3"},
		CallerRoundTrip:   3 * time.Millisecond,
		Pools:             []string{"members-1", "members-2", "members-3"},
		Endpoints:         3,
		Slots:             3,
		Connections:       50,
		ConnectDelay:      10 * time.Millisecond,
		ServiceTime:       serviceTime,
	}
}

// Lindqvist returns the deployment of Lindqvist Markisservice.
func Lindqvist() Deployment {
	return Deployment{
		Name:              "lindqvist",
		Hosts:             14,
		AvailabilityZones: []string{"az-1", "az-2", "az-3", "az-4"},
		CallerRoundTrip:   time.Millisecond,
		Pools:             []string{"bookings-1", "bookings-2", "ledger-1"},
		Endpoints:         3,
		Slots:             2,
		Connections:       60,
		ConnectDelay:      10 * time.Millisecond,
		ServiceTime:       serviceTime,
	}
}

// DeploymentByName returns the deployment that has the name.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Cooperative(), Lindqvist()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errors.Newf("unknown deployment %q", name)
}

// Capacity returns the number of short statements per second that the primaries
// of all pools together can run.
func (d Deployment) Capacity() float64 {
	return float64(len(d.Pools)) * float64(d.Slots) / d.ServiceTime.Seconds()
}

// Classes returns the statement classes that the scenarios rely on.
func (d Deployment) Classes() []manifest.Class {
	return []manifest.Class{
		{
			Name:        "ledger",
			Match:       manifest.Match{Pattern: "platform_work"},
			DeadlineMs:  int(longDeadline.Milliseconds()),
			LongRunning: true,
		},
		{
			Name:       "short",
			DeadlineMs: int(shortStartDeadline.Milliseconds()),
			Priority:   5,
		},
	}
}

// Reads returns the kinds of read that the scenarios rely on.
func (d Deployment) Reads() []manifest.ReadKind {
	return []manifest.ReadKind{
		{Name: kindLookup, Match: manifest.Match{Tag: kindLookup}, MaxStalenessMs: 5000},
		{Name: kindLedger, Match: manifest.Match{Tag: kindLedger}, MaxStalenessMs: 60000},
	}
}
