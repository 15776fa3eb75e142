package session

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Prepared is a statement that the caller has prepared.
type Prepared struct {
	// Definition is what follows the name when the statement is prepared. Equal
	// definitions run the same shape.
	Definition string
	Writes     bool
}

// Alias names the statement on endpoints. Sessions choose colliding names, so
// that a connection shared by sessions needs names that follow from the
// definition.
func (p Prepared) Alias() string {
	return "p" + strconv.FormatUint(xxhash.Sum64String(p.Definition), 36)
}
