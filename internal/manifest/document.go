// Package manifest holds the operators' manifest: its JSON document, the
// validation of the whole document, the difference between two documents and
// the split into content-addressed objects.
package manifest

// Document is the manifest that the operators' build pipeline generates.
type Document struct {
	// Version is the version of this format; 1.
	Version int `json:"version"`
	// Deployment names the organisation, for people.
	Deployment string `json:"deployment"`
	// Hosts are the entry hosts that carry daemons.
	Hosts []Host `json:"hosts"`
	// Pools are the database pools, by name.
	Pools []Pool `json:"pools"`
}
