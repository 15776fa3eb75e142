package manifest

// Match selects statements. An empty Match selects all.
type Match struct {
	// Tag is the value of a leading comment /* kind=TAG */.
	Tag string `json:"tag,omitempty"`
	// Pattern is a regular expression (RE2) over the statement's text.
	Pattern string `json:"pattern,omitempty"`
}
