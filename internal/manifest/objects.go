package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of bucket objects, which are between the root
// object and the pools. With 6,800 pools, a bucket lists about 106 of them, so
// that a change of one pool writes three objects of a few kilobytes.
const BucketCount = 64

// rootObject holds the hashes of a manifest's other top-level objects.
type rootObject struct {
	Version int    `json:"version"`
	Shared  string `json:"shared"`
	// Buckets holds the hash of each bucket; "" for an empty one.
	Buckets []string `json:"buckets"`
	// History holds the manifests accepted before this one, newest first.
	History []Acceptance `json:"history,omitempty"`
}

// sharedObject holds the parts of a manifest other than the pools.
type sharedObject struct {
	Deployment string `json:"deployment"`
	Hosts      []Host `json:"hosts"`
}

// bucketObject holds the hash of each pool's object by pool name.
type bucketObject struct {
	Pools map[string]string `json:"pools"`
}

// Hash returns the key of an object: its SHA-256 in hexadecimal.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// bucketOf returns the bucket of a pool. Releases must not change the mapping:
// daemons would reject the manifests of another release, and the first apply
// with a new release would rewrite every bucket.
func bucketOf(pool string) int {
	return int(xxhash.Sum64String(pool) % BucketCount)
}

// encode returns the canonical JSON of an object. Struct fields keep their
// order and map keys are sorted, so that equal values have equal hashes.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // Objects hold only strings, numbers, booleans, slices and maps.
	}
	return b
}
