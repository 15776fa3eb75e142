package statement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fingerprint computes a hash of the tokens of a text without their literal values. A
// list of literals counts as one literal, so that IN (1, 2) and IN (1, 2, 3) have the
// same fingerprint.
type fingerprint struct {
	digest *xxhash.Digest
	// afterLiteral is true after a literal, pendingComma after a literal and a comma.
	// The comma is hashed only if no further literal follows.
	afterLiteral, pendingComma bool
}

func newFingerprint() *fingerprint { return &fingerprint{digest: xxhash.New()} }

func (f *fingerprint) add(t token) {
	switch {
	case t.kind == tokenLiteral:
		f.addLiteral()
	case f.afterLiteral && t.isSymbol(","):
		f.afterLiteral, f.pendingComma = false, true
	default:
		f.flush()
		f.write(t.text)
	}
}

func (f *fingerprint) addLiteral() {
	if !f.pendingComma && !f.afterLiteral {
		f.write("?")
	}
	f.afterLiteral, f.pendingComma = true, false
}

// flush hashes a pending comma that no literal followed.
func (f *fingerprint) flush() {
	if f.pendingComma {
		f.write(",")
	}
	f.afterLiteral, f.pendingComma = false, false
}

func (f *fingerprint) write(s string) {
	_, _ = f.digest.WriteString(s)
	_, _ = f.digest.WriteString(" ")
}

func (f *fingerprint) sum() uint64 {
	f.flush()
	return f.digest.Sum64()
}

// combineFingerprints returns the fingerprint of a batch of several texts.
func combineFingerprints(a, b uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], a)
	binary.LittleEndian.PutUint64(both[8:], b)
	return xxhash.Sum64(both[:])
}
