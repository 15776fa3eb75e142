// Package findings collects problems of a document together with their places,
// so that all of them are reported in one pass, and decodes JSON strictly.
package findings

// Finding is one problem of a document.
type Finding struct {
	// Pointer is the JSON pointer (RFC 6901) of the value; "" is the whole document.
	Pointer string `json:"pointer"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Remedy says what to do about it.
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
