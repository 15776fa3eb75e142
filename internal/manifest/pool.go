package manifest

// Pool is one database group and the rules for the statements sent to it.
type Pool struct {
	// Name is also the database name that callers connect to.
	Name string `json:"name"`
	// Database and User are used on the endpoints.
	Database  string     `json:"database"`
	User      string     `json:"user"`
	Endpoints []Endpoint `json:"endpoints"`
	// Classes are the statement classes; the first one that matches decides.
	Classes []Class `json:"classes"`
	// Reads are the kinds of read; the first one that matches decides.
	Reads []ReadKind `json:"reads"`
	// Writes are the kinds of write; the first one that matches decides.
	Writes []WriteKind `json:"writes"`
}
