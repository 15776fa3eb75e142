package outcomes

import "encoding/hex"

// ID is the request ID; random, and unique to one attempt of one request.
type ID [16]byte

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }
