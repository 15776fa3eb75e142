// Package measure offers seeded, open-loop load to a running deployment and
// reports goodput, latency, refusals, replica share and failover gap.
//
// Latency counts from the time at which a request was due, so a stalled system
// cannot hide the requests that it kept from being sent. The offered work is a
// function of scenario, deployment, options and seed only.
//
// The distance to callers is imitated by a wait at the caller; the distance
// between zones is not imitated.
package measure
