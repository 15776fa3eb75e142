// Package platform is a stand-in for the platform in tests and demonstrations: an HTTP
// server that implements the parts of the DynamoDB and S3 APIs that the adapters use,
// serves a host list, and can inject faults. It keeps everything in memory and checks
// no signatures.
package platform

import "github.com/beryltrestle/beryltrestle/internal/platform"

// Config configures a stand-in.
type Config struct {
	// Address is the IP:port to listen on; 127.0.0.1 with a free port if empty.
	Address string
	// Hosts is the initial host list.
	Hosts []platform.Host
}
