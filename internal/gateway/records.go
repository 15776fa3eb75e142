package gateway

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

// Key prefixes in TableState.
const (
	hostPrefix  = "host/"
	claimPrefix = "claim/"
)

// hostRecord is the value of a host's row, by which hosts find each other.
type hostRecord struct {
	Name string `json:"name"`
	// Address is where the host serves the calls of other hosts.
	Address string `json:"address"`
	// Incarnation identifies the run of the host's process.
	Incarnation      uint64 `json:"incarnation"`
	AvailabilityZone string `json:"availability_zone"`
}

// claimRecord is the value of a claim's row. The claim allows one host to replace a
// group's primary. It is only replaced conditionally on its version, so that one host
// at a time holds it.
type claimRecord struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Fence is a fencing token. It increases with each change of holder or incarnation.
	Fence uint64 `json:"fence"`
	// Term is the term whose primary is being replaced. A host that knows the record
	// does not use primaries of this term or earlier ones.
	Term uint64 `json:"term"`
	// Withdrawn claims leave the primary of the term in use.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// decodeRecord decodes the value of a row of TableState.
func decodeRecord[T any](r rows.Row) (T, error) {
	var out T
	if err := json.Unmarshal(r.Value, &out); err != nil {
		return out, errors.Wrapf(err, "row %q", r.Key)
	}
	return out, nil
}

// encodeRecord encodes the value of a row of TableState.
func encodeRecord(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		// Cannot happen, since the records hold only strings, numbers and booleans.
		panic(err)
	}
	return out
}

// hostOfKey returns the name of the host to which the row's key belongs.
func hostOfKey(key string) (string, bool) {
	name, ok := strings.CutPrefix(key, hostPrefix)
	return name, ok && name != ""
}

// groupOfClaim returns the name of the group to which the claim's key belongs.
func groupOfClaim(key string) (string, bool) { return strings.CutPrefix(key, claimPrefix) }
