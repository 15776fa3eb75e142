package findings

import (
	"strconv"
	"strings"
)

// pointerEscaper escapes a key as RFC 6901 requires.
var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

// AppendKey returns the JSON pointer of a member of the object at pointer.
func AppendKey(pointer, key string) string {
	return pointer + "/" + pointerEscaper.Replace(key)
}

// AppendIndex returns the JSON pointer of an element of the array at pointer.
func AppendIndex(pointer string, i int) string {
	return pointer + "/" + strconv.Itoa(i)
}
