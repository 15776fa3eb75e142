package statement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/statement"
)

// Guards against a query that is treated as a read, and repeated on the primary,
// although it calls a function that may write.
func TestUnknownFunctionsMayWrite(t *testing.T) {
	g := NewWithT(t)
	for sql, want := range map[string]bool{
		"select book_slot(1)":                                        true,
		"select 1; select book_slot(1)":                              true,
		"select coalesce(max(seq), 0) from bookings where id in (1)": false,
		"select id from bookings":                                    false,
	} {
		g.Expect(statement.ClassifySQL(sql).CallsUnknownFunction).To(Equal(want), sql)
	}
}
