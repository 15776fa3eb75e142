package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of objects between the root and the pools. With 6,800
// pools, a bucket names about 106 of them, so that a change of one pool writes
// three objects of a few kilobytes.
const Buckets = 64

// rootObject names the objects of one manifest by content hash.
type rootObject struct {
	Version int    `json:"version"`
	Shared  string `json:"shared"`
	// Buckets holds a hash for each of the Buckets buckets; "" for an empty one.
	Buckets []string `json:"buckets"`
	// History holds the manifests accepted before this one, newest first.
	History []Acceptance `json:"history,omitempty"`
}

// sharedObject is the part of a manifest beside the pools.
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

// bucketOf returns the bucket of a pool name. It must not change between
// versions, or every object changes with the first apply of a new version.
func bucketOf(pool string) int {
	return int(xxhash.Sum64String(pool) % Buckets)
}

// encode returns the canonical JSON of an object. Struct fields are written in
// order and map keys sorted, so that equal values have equal hashes.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // Objects hold only strings, numbers, booleans, slices and maps.
	}
	return b
}
