// Package gateway serves callers' sessions on the endpoints of the database
// groups. Each host runs one Gateway. It takes statements from a caller codec,
// chooses an endpoint, shares the endpoint's connections between sessions, and
// replaces a primary that has failed or is leaving.
//
// The package knows no wire format and no platform: codecs, the dialer, the store
// and the promoter are interfaces.
package gateway
