// Package s3 implements platform.ObjectStore over the S3 API with path-style
// addresses.
package s3

import "time"

// Config of an object store.
type Config struct {
	// Endpoint is the service's URL.
	Endpoint        string
	Region          string
	Bucket          string
	AccessKeyID     string
	SecretAccessKey string
	// Timeout bounds each request, the body included.
	Timeout time.Duration
}
