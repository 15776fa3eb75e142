package statement

import "strings"

const (
	tagName        = "kind"
	requestKeyName = "request_key"
)

// readComment takes NAME=VALUE pairs, separated by white space or commas, out of
// a comment. The first value of each name is kept.
func (i *Info) readComment(text string) {
	if !strings.Contains(text, "=") {
		return
	}
	for _, field := range strings.FieldsFunc(text, separator) {
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

func separator(r rune) bool { return r == ',' || r <= ' ' }
