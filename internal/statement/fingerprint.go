package statement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fingerprint hashes tokens. Lists of literals hash like one literal, so that
// IN (1, 2) and IN (1, 2, 3) are the same statement.
type fingerprint struct {
	digest *xxhash.Digest
	// literal is true after a literal, comma after a literal and a comma.
	literal, comma bool
}

func newFingerprint() *fingerprint { return &fingerprint{digest: xxhash.New()} }

func (f *fingerprint) add(t token) {
	switch {
	case t.kind == tokenLiteral:
		f.addLiteral()
	case f.literal && t.symbol(","):
		f.literal, f.comma = false, true
	default:
		f.flush()
		f.write(t.text)
	}
}

func (f *fingerprint) addLiteral() {
	if !f.comma && !f.literal {
		f.write("?")
	}
	f.literal, f.comma = true, false
}

// flush writes a comma that no literal followed.
func (f *fingerprint) flush() {
	if f.comma {
		f.write(",")
	}
	f.literal, f.comma = false, false
}

func (f *fingerprint) write(s string) {
	_, _ = f.digest.WriteString(s)
	_, _ = f.digest.WriteString(" ")
}

func (f *fingerprint) sum() uint64 {
	f.flush()
	return f.digest.Sum64()
}

// combine returns one fingerprint for the statements of a batch.
func combine(a, b uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], a)
	binary.LittleEndian.PutUint64(both[8:], b)
	return xxhash.Sum64(both[:])
}
