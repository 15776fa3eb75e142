package entry_test

import (
	"testing"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
)

// Guards against an entry that a common client library cannot use: the simple and the
// extended protocol, prepared statements across batches, pipelined batches and
// transactions.
func TestClientIsServed(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, nil)
	conn := h.connect(t, "&beryltrestle.session=s1")
	ctx := testContext(t)

	var v string
	for range 3 {
		g.Expect(conn.QueryRow(ctx, "select $1::text", "a").Scan(&v)).To(Succeed())
		g.Expect(v).To(Equal("select $1::text|a"))
	}
	g.Expect(conn.QueryRow(ctx, "select 2", pgx.QueryExecModeSimpleProtocol).Scan(&v)).To(Succeed())
	g.Expect(v).To(Equal("select 2"))

	batch := &pgx.Batch{}
	batch.Queue("select $1::text", "b")
	batch.Queue("insert into slots values ($1)", "c")
	batch.Queue("select $1::text || 'x'", "d")
	results := conn.SendBatch(ctx, batch)
	g.Expect(results.QueryRow().Scan(&v)).To(Succeed())
	g.Expect(v).To(Equal("select $1::text|b"))
	_, err := results.Exec()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results.QueryRow().Scan(&v)).To(Succeed())
	g.Expect(v).To(Equal("select $1::text || 'x'|d"))
	g.Expect(results.Close()).To(Succeed())

	tx, err := conn.Begin(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "insert into slots values ($1)", "e")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tx.Commit(ctx)).To(Succeed())

	seen := h.owner.receivedRequests()
	last := seen[len(seen)-1]
	g.Expect(last.GetTransactionId()).To(HaveLen(16))
	g.Expect(last.GetSession()).To(Equal("s1"))
	g.Expect(last.GetPool()).To(Equal(testPool))
	g.Expect(last.GetOwnerIncarnation()).To(Equal(uint64(testIncarnation)))
	g.Expect(last.GetTerm()).To(Equal(uint64(testTerm)))
}
