// Package findings collects the problems of a document with their positions, so
// that all are reported in one pass, and decodes JSON strictly.
package findings

// Finding is one problem of a document.
type Finding struct {
	// Pointer is the JSON pointer (RFC 6901) of the value; "" is the whole document.
	Pointer string `json:"pointer"`
	// Problem describes what is wrong.
	Problem string `json:"problem"`
	// Remedy describes how to correct it.
	Remedy string `json:"remedy"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	at := f.Pointer
	if at == "" {
		at = "/"
	}
	return at + ": " + f.Problem + "; " + f.Remedy
}
