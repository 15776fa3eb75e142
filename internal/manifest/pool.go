package manifest

// Pool is one database group with the rules for the statements sent to it.
type Pool struct {
	// Name is also the database name that callers connect to.
	Name string `json:"name"`
	// Database and User are used for connections to the endpoints.
	Database  string     `json:"database"`
	User      string     `json:"user"`
	Endpoints []Endpoint `json:"endpoints"`
	// Classes are the classes of statements; the first match decides.
	Classes []Class `json:"classes"`
	// Reads are the kinds of read; the first match decides.
	Reads []ReadKind `json:"reads"`
	// Writes are the kinds of write; the first match decides.
	Writes []WriteKind `json:"writes"`
}
