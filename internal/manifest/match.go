package manifest

// Match selects statements. An empty Match selects every statement.
type Match struct {
	// Tag is the tag in a leading comment of the form /* kind=TAG */.
	Tag string `json:"tag,omitempty"`
	// Pattern is a regular expression (RE2) that the statement's text must match.
	Pattern string `json:"pattern,omitempty"`
}
