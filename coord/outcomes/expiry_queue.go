package outcomes

import "time"

// expiryEntry is an ID with the time at which its record or its details expire.
type expiryEntry struct {
	id        ID
	expiresAt time.Time
}

// minCompact is the number of removed entries below which an expiryQueue is not compacted.
const minCompact = 1024

// expiryQueue holds entries in the order of their expiry. This is the order in which they
// are pushed, since all entries of one queue have the same lifetime.
type expiryQueue struct {
	entries []expiryEntry
	head    int
}

func (f *expiryQueue) push(d expiryEntry) { f.entries = append(f.entries, d) }

func (f *expiryQueue) empty() bool { return f.head == len(f.entries) }

func (f *expiryQueue) first() expiryEntry { return f.entries[f.head] }

// pop removes the first entry. Once half of the entries in the array are removed, it
// copies the rest to a new array, so that the memory is proportional to the number of
// entries.
func (f *expiryQueue) pop() {
	f.head++
	if f.head >= minCompact && f.head*2 >= len(f.entries) {
		f.entries = append([]expiryEntry(nil), f.entries[f.head:]...)
		f.head = 0
	}
}
