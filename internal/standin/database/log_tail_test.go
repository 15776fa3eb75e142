package database

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a tail that returns wrong entries after old ones were removed or after a
// gap.
func TestTailReturnsTheEntriesAfterAnOffset(t *testing.T) {
	g := NewWithT(t)
	var tail logTail
	const last = 5 * tailLength
	for i := range uint64(last) {
		tail.add(receivedEntry{Entry: Entry{Term: 1 + i/100, Offset: i + 1}})
	}
	_, ok := tail.after(10)
	g.Expect(ok).To(BeFalse(), "trimmed entries were claimed")
	entries, ok := tail.after(last - 3)
	g.Expect(ok).To(BeTrue())
	g.Expect(entries).To(HaveLen(3))
	g.Expect(entries[0].Offset).To(Equal(uint64(last - 2)))
	entries, ok = tail.after(last)
	g.Expect(ok).To(BeTrue())
	g.Expect(entries).To(BeEmpty())
	term, ok := tail.termAt(last)
	g.Expect(ok).To(BeTrue())
	g.Expect(term).To(Equal(uint64(1 + (last-1)/100)))

	tail.add(receivedEntry{Entry: Entry{Term: 99, Offset: 7}})
	entries, ok = tail.after(6)
	g.Expect(ok).To(BeTrue())
	g.Expect(entries).To(HaveLen(1))
	_, ok = tail.termAt(last)
	g.Expect(ok).To(BeFalse(), "an entry from before the gap was kept")
}
