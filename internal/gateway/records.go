package gateway

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

// Prefixes of the keys in TableState.
const (
	hostPrefix  = "host/"
	claimPrefix = "claim/"
)

// hostRecord is the row by which hosts find each other.
type hostRecord struct {
	Name string `json:"name"`
	// Address serves the other hosts' calls.
	Address string `json:"address"`
	// Incarnation identifies the run of the process.
	Incarnation      uint64 `json:"incarnation"`
	AvailabilityZone string `json:"availability_zone"`
}

// claimRecord is the row that allows one host to replace a group's primary. It is
// replaced under its version only, so that one host at a time holds it.
type claimRecord struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Fence rises with each change of holder or incarnation.
	Fence uint64 `json:"fence"`
	// Term is the term whose primary is replaced. Once the record is known, no host
	// uses a primary of this term or an earlier one.
	Term uint64 `json:"term"`
	// Withdrawn claims leave the primary of the term in place.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// decodeRecord reads a row of TableState.
func decodeRecord[T any](r rows.Row) (T, error) {
	var out T
	if err := json.Unmarshal(r.Value, &out); err != nil {
		return out, errors.Wrapf(err, "row %q", r.Key)
	}
	return out, nil
}

// encodeRecord renders a row of TableState.
func encodeRecord(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		// The records hold only strings and numbers.
		panic(err)
	}
	return out
}

// hostOfKey returns the host that the key of a host's row names.
func hostOfKey(key string) (string, bool) {
	name, ok := strings.CutPrefix(key, hostPrefix)
	return name, ok && name != ""
}

// groupOfClaim returns the group that the key of a claim names.
func groupOfClaim(key string) (string, bool) { return strings.CutPrefix(key, claimPrefix) }
