// Package measure runs a seeded, open-loop load against a running deployment and
// reports goodput, latency, refusals, replica share and failover gap.
//
// Latency is measured from the time at which a request was due, so that requests
// which a stalled system delayed before they were sent count in full. The offered
// work depends only on scenario, deployment, options and seed.
//
// The network latency to callers is simulated by a sleep at the caller. The latency
// between availability zones is not simulated.
package measure
