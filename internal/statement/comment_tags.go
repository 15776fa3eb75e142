package statement

import "strings"

const (
	tagName        = "kind"
	requestKeyName = "request_key"
)

// parseComment reads the tag and the request key from a comment. A comment may hold
// NAME=VALUE pairs separated by white space or commas. The first value of each name
// counts.
func (i *Info) parseComment(text string) {
	if !strings.Contains(text, "=") {
		return
	}
	for _, field := range strings.FieldsFunc(text, isSeparator) {
		name, value, ok := strings.Cut(field, "=")
		switch {
		case !ok || value == "":
		case name == tagName && i.Tag == "":
			i.Tag = value
		case name == requestKeyName && i.RequestKey == "":
			i.RequestKey = value
		}
	}
}

func isSeparator(r rune) bool { return r == ',' || r <= ' ' }
