package outcomes

import "time"

// due is an ID and the time at which something of it expires.
type due struct {
	id ID
	at time.Time
}

// minCompact is the number of taken entries below which a fifo is not compacted.
const minCompact = 1024

// fifo holds entries in the order of their expiry, which is the order of
// arrival since every entry of one fifo has the same lifetime.
type fifo struct {
	entries []due
	head    int
}

func (f *fifo) push(d due) { f.entries = append(f.entries, d) }

func (f *fifo) empty() bool { return f.head == len(f.entries) }

func (f *fifo) first() due { return f.entries[f.head] }

// pop removes the first entry, and moves the rest to a new array once half of
// the array is taken, so that its memory follows the number of entries.
func (f *fifo) pop() {
	f.head++
	if f.head >= minCompact && f.head*2 >= len(f.entries) {
		f.entries = append([]due(nil), f.entries[f.head:]...)
		f.head = 0
	}
}
