// Package platform is a small stand-in for the platform in tests and
// demonstrations: one HTTP server that speaks the subset of the DynamoDB and S3
// APIs that the adapters use, serves a host list, and has switches for faults.
// It keeps everything in memory and checks no signatures.
package platform

import "github.com/beryltrestle/beryltrestle/internal/platform"

// Config of a stand-in.
type Config struct {
	// Address is the IP:port to listen on; 127.0.0.1 with any port if empty.
	Address string
	// Hosts is the first host list.
	Hosts []platform.Host
}
