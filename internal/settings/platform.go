package settings

// Platform holds the addresses and credentials of the platform's services.
type Platform struct {
	// TableEndpoint is the URL of the table service (DynamoDB API).
	TableEndpoint string `json:"table_endpoint"`
	TableName     string `json:"table_name"`
	// ObjectEndpoint is the URL of the object store (S3 API, path style).
	ObjectEndpoint string `json:"object_endpoint"`
	Bucket         string `json:"bucket"`
	// HostListEndpoint is the URL of the host list; empty if there is none.
	HostListEndpoint string `json:"host_list_endpoint"`
	Region           string `json:"region"`
	AccessKeyID      Secret `json:"access_key_id"`
	SecretAccessKey  Secret `json:"secret_access_key"`
	// RequestTimeout is the time limit of each request to the platform.
	RequestTimeout Duration `json:"request_timeout"`
}
