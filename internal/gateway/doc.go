// Package gateway serves callers' sessions on the endpoints of the database groups.
// Each host runs one Gateway. It reads statements from a Caller, chooses an endpoint
// for each, shares the endpoint's connections between sessions, and fails over when a
// primary is lost or leaves.
//
// The package is independent of wire formats and of the platform: callers, endpoint
// connections, the store, the decoder and the promoter are interfaces.
package gateway
