package manifest

import (
	"net/netip"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// FormatVersion is the version of the manifest format.
const FormatVersion = 1

// Ranges of the values in a manifest.
const (
	minCapacity = 1
	maxCapacity = 1000
	// maxNameBytes is the length limit of PostgreSQL database names.
	maxNameBytes   = 63
	maxSlots       = 1000
	maxConnections = 10000
	// controlConnections are the connections for monitoring and cancelling, in
	// addition to an endpoint's slots.
	controlConnections = 2
	maxStalenessMs     = 3_600_000
	maxDeadlineMs      = 600_000
	maxPriority        = 9
)

// Validate returns all findings about the document's values.
func (d *Document) Validate() findings.List {
	var l findings.List
	if d.Version != FormatVersion {
		l.Add("/version", "set it to 1", "version %d is not supported", d.Version)
	}
	d.validateShared(&l)
	d.validatePools(&l)
	return l
}

// validateShared checks everything except the pools.
func (d *Document) validateShared(l *findings.List) {
	l.CheckRequired("/deployment", d.Deployment)
	if len(d.Hosts) == 0 {
		l.Add("/hosts", "list the hosts that run daemons", "there is no host")
	}
	names := newUniqueValues(l)
	addresses := newUniqueValues(l)
	for i, h := range d.Hosts {
		at := findings.AppendIndex("/hosts", i)
		checkName(l, names, at+"/name", h.Name)
		checkAddress(l, addresses, at+"/address", h.Address)
		l.CheckRequired(at+"/availability_zone", h.AvailabilityZone)
		l.CheckRange(at+"/capacity", h.Capacity, minCapacity, maxCapacity)
	}
}

// validatePools checks every pool. Addresses must be unique across all pools,
// since a server cannot be in two groups.
func (d *Document) validatePools(l *findings.List) {
	if len(d.Pools) == 0 {
		l.Add("/pools", "list the database pools", "there is no pool")
	}
	names := newUniqueValues(l)
	addresses := newUniqueValues(l)
	for i, p := range d.Pools {
		at := findings.AppendIndex("/pools", i)
		checkName(l, names, at+"/name", p.Name)
		p.validate(l, at, addresses)
	}
}

// checkName checks that the name is set, short enough and unique.
func checkName(l *findings.List, names uniqueValues, pointer, name string) {
	l.CheckRequired(pointer, name)
	if len(name) > maxNameBytes {
		l.Add(pointer, "use a shorter name", "name is %d bytes long, at most %d are allowed", len(name), maxNameBytes)
	}
	names.check(pointer, name)
}

// checkAddress checks that the value is a unique IP:port with a port other than
// 0.
func checkAddress(l *findings.List, addresses uniqueValues, pointer, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		l.Add(pointer, "use a numeric address such as 10.0.0.1:5432", "%q is not the IP:port of a host", v)
		return
	}
	addresses.check(pointer, a.String())
}
