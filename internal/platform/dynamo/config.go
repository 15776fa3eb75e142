// Package dynamo implements platform.Table over the DynamoDB API.
package dynamo

import "time"

// Config configures a Table.
type Config struct {
	// Endpoint is the service's URL.
	Endpoint string
	Region   string
	// Table is the table's name. Its partition key is the string attribute "id".
	Table           string
	AccessKeyID     string
	SecretAccessKey string
	// Timeout is the time limit of each request.
	Timeout time.Duration
}
