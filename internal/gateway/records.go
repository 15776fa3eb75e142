package gateway

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/rows"
)

// Key prefixes in TableState.
const (
	hostPrefix  = "host/"
	claimPrefix = "claim/"
)

// replicaSetPrefix is the key prefix in TableState of the replica sets of groups.
const replicaSetPrefix = "replicas/"

// electorateKey is the key of the row of TableState that holds the electorate.
const electorateKey = "electorate"

// hostRecord is the value of a host's row, by which hosts find each other.
type hostRecord struct {
	Name string `json:"name"`
	// Address is where the host serves the calls of other hosts.
	Address string `json:"address"`
	// Incarnation identifies the run of the host's process.
	Incarnation      uint64 `json:"incarnation"`
	AvailabilityZone string `json:"availability_zone"`
	// Weight is the host's relative capacity; 0 counts as 1.
	Weight int `json:"weight,omitempty"`
	// HorizonKnown is true if the permission of the host ends a limited time after the last read of
	// the store (permission.Until). Hosts of earlier builds do not write it.
	HorizonKnown bool `json:"horizon_known,omitempty"`
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
	// Withdrawn claims leave the primary of the term in use unless the term has ended.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// EndedTerm is the newest term that no host uses any more. The holder ends the term of
	// the claim before it orders a promotion; nobody can take that back, since the promotion
	// may take effect at any time later.
	EndedTerm uint64 `json:"ended_term"`
}

// fenceState returns what the claim with the given row version means for the use of primaries.
func (c claimRecord) fenceState(version uint64) FenceState {
	return FenceState{Term: c.Term, Version: version, Withdrawn: c.Withdrawn, EndedTerm: c.EndedTerm}
}

// Ranges of the fields of records. Other writers may leave rows in TableState as well.
const (
	// maxAddressBytes limits the address of a host.
	maxAddressBytes = 200
	// maxFence limits fencing tokens. A token near the end of uint64 could not increase.
	maxFence = 1 << 56
)

// record is the value of a row of TableState.
type record interface {
	// check returns an error if the record cannot be the value of the row with the key.
	check(key string) error
}

// check implements record.
func (h hostRecord) check(key string) error {
	name, _ := hostOfKey(key)
	if h.Name != name || h.Address == "" || len(h.Address) > maxAddressBytes || len(h.AvailabilityZone) > maxAddressBytes {
		return errors.New("name, address or availability zone is not valid")
	}
	return nil
}

// check implements record.
func (c claimRecord) check(string) error {
	if c.Term > logpos.MaxTerm || c.EndedTerm > c.Term || c.Fence > maxFence {
		return errors.Newf("term %d, ended term %d or fence %d is out of range", c.Term, c.EndedTerm, c.Fence)
	}
	return nil
}

// electorateRecord is the value of the electorate's row: which hosts count towards majorities.
type electorateRecord struct {
	electorate.Electorate
	// Base is the version of the completed record that this one changes, or whose change it
	// completes; 0 if there is none, and in records of builds that did not write it.
	Base uint64 `json:"base,omitempty"`
	// Unconfirmed is true if no quorum of the former voters answered the host that began the change.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// check implements record.
func (e electorateRecord) check(string) error {
	if len(e.Voters) == 0 || len(e.Voters) > electorate.MaxVoters || len(e.Former) > electorate.MaxVoters {
		return errors.Newf("%d voters and %d former voters are out of range", len(e.Voters), len(e.Former))
	}
	return nil
}

// decodeRecord decodes and checks the value of a row of TableState.
func decodeRecord[T record](r rows.Row) (T, error) {
	var out T
	err := json.Unmarshal(r.Value, &out)
	if err == nil {
		err = out.check(r.Key)
	}
	return out, errors.Wrapf(err, "row %q", r.Key)
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
