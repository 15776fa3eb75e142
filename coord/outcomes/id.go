package outcomes

import "encoding/hex"

// ID is the ID of a request. It is random, and unique to one attempt of the request.
type ID [16]byte

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }
