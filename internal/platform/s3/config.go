// Package s3 implements platform.ObjectStore over the S3 API with path-style
// addresses.
package s3

import "time"

// Config configures a Store.
type Config struct {
	// Endpoint is the service's URL.
	Endpoint        string
	Region          string
	Bucket          string
	AccessKeyID     string
	SecretAccessKey string
	// Timeout is the time limit of each request, including its body.
	Timeout time.Duration
}
