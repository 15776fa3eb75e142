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

func (q *expiryQueue) push(e expiryEntry) { q.entries = append(q.entries, e) }

func (q *expiryQueue) empty() bool { return q.head == len(q.entries) }

func (q *expiryQueue) first() expiryEntry { return q.entries[q.head] }

// pop removes the first entry. Once half of the entries in the array are removed, it
// copies the rest to a new array, so that the memory is proportional to the number of
// entries.
func (q *expiryQueue) pop() {
	q.head++
	if q.head >= minCompact && q.head*2 >= len(q.entries) {
		q.entries = append([]expiryEntry(nil), q.entries[q.head:]...)
		q.head = 0
	}
}
