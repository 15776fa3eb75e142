package findings

import (
	"strconv"
	"strings"
)

// pointerEscaper escapes a key as RFC 6901 requires.
var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

// Key returns the pointer of a member of the object at pointer.
func Key(pointer, key string) string {
	return pointer + "/" + pointerEscaper.Replace(key)
}

// Index returns the pointer of an element of the array at pointer.
func Index(pointer string, i int) string {
	return pointer + "/" + strconv.Itoa(i)
}
