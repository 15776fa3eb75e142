package session

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Prepared is a prepared statement of a session.
type Prepared struct {
	// Definition is the text after the name in the statement that prepared it. Equal
	// definitions are the same statement.
	Definition string
	Writes     bool
}

// Alias returns the name of the prepared statement on endpoints. It is derived from the
// definition, because sessions that share a connection may use the same name for
// different statements.
func (p Prepared) Alias() string {
	return "p" + strconv.FormatUint(xxhash.Sum64String(p.Definition), 36)
}
