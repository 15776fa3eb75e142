// Package manifest implements the operators' manifest: its JSON document, the
// validation, the difference between two documents, and the split into
// content-addressed objects.
package manifest

// Document is the manifest that the operators' build pipeline generates.
type Document struct {
	// Version is the format version, FormatVersion.
	Version int `json:"version"`
	// Deployment is the name of the organisation; it is only displayed.
	Deployment string `json:"deployment"`
	// Hosts are the hosts that run daemons.
	Hosts []Host `json:"hosts"`
	// Pools are the database pools, by name.
	Pools []Pool `json:"pools"`
}
