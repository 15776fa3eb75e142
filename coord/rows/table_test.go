package rows_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

func row(key string, version uint64, value string) rows.Row {
	return rows.Row{Key: key, Version: version, Value: []byte(value)}
}

// Guards against a host that returns to an older configuration because a peer with an
// outdated mirror answers last.
func TestOlderVersionNeverReplacesNewer(t *testing.T) {
	g := NewWithT(t)
	m := rows.NewTable()
	m.Apply([]rows.Row{row("config", 7, "new")}, 0, 7)
	g.Expect(m.Apply([]rows.Row{row("config", 5, "old")}, 0, 5)).To(BeEmpty())
	g.Expect(m.Replace([]rows.Row{row("config", 5, "old")}, 5)).To(BeEmpty())
	held, ok := m.Get("config")
	g.Expect(ok).To(BeTrue())
	g.Expect(string(held.Value)).To(Equal("new"))
	g.Expect(m.Through()).To(Equal(uint64(7)))
}

// Guards against endpoints that are used forever because they left while the history of
// changes was lost.
func TestListingDeletesWhatItDoesNotHold(t *testing.T) {
	g := NewWithT(t)
	m := rows.NewTable()
	m.Apply([]rows.Row{row("a", 1, "x"), row("b", 2, "x")}, 0, 2)
	m.Apply([]rows.Row{row("c", 9, "x")}, 8, 9)
	changed := m.Replace([]rows.Row{row("a", 1, "x")}, 6)
	g.Expect(changed).To(HaveLen(1))
	g.Expect(changed[0].Deleted).To(BeTrue())
	_, ok := m.Get("b")
	g.Expect(ok).To(BeFalse())
	_, ok = m.Get("c")
	g.Expect(ok).To(BeTrue(), "a row newer than the listing stays")
}

// Guards against a change that is never fetched because a later one arrived first.
func TestGapDoesNotAdvanceThrough(t *testing.T) {
	g := NewWithT(t)
	m := rows.NewTable()
	m.Apply(nil, 0, 3)
	m.Apply([]rows.Row{row("a", 9, "x")}, 8, 9)
	g.Expect(m.Through()).To(Equal(uint64(3)))
	g.Expect(m.Since(3)).To(HaveLen(1))
	m.Apply([]rows.Row{row("b", 5, "x")}, 3, 9)
	g.Expect(m.Through()).To(Equal(uint64(9)))
	g.Expect(m.Live()).To(HaveLen(2))
}

// Guards against a row that comes back after its removal: a host that has just started asks
// another one, lists the table, which no longer has the row, and then gets the answer of the
// other host, which still had it.
func TestRemovedRowOfAnOldMirrorDoesNotReturn(t *testing.T) {
	g := NewWithT(t)
	m := rows.NewTable()
	m.Replace([]rows.Row{row("a", 10, "x")}, 100)
	g.Expect(m.Apply([]rows.Row{row("a", 10, "x"), row("left", 50, "x")}, 0, 60)).To(BeEmpty())
	_, ok := m.Get("left")
	g.Expect(ok).To(BeFalse())
	g.Expect(m.Apply([]rows.Row{row("left", 50, "x"), row("new", 120, "x")}, 0, 120)).To(HaveLen(1))
	g.Expect(m.Through()).To(Equal(uint64(120)))
	g.Expect(m.Live()).To(HaveLen(2))
}
