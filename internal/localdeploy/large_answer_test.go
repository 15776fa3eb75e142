package localdeploy_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

// Guards against a write that ran but is reported as not run because its answer
// exceeds the size up to which answers of reads are buffered, with and without a
// request key.
func TestWriteWithLargeAnswerSucceeds(t *testing.T) {
	g := NewWithT(t)
	d := startDeployment(t, localdeploy.Config{})
	createTables(t, d, "members")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := workload.Connect(ctx, d.Hosts[0].CallerAddress(), "members", "writer")
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close(ctx)
	large := strings.Repeat("x", 400<<10)
	for i, comment := range []string{"", "/* request_key=large */ "} {
		var got string
		sql := comment + "INSERT INTO bookings (id, session, seq) VALUES ($1, 'writer', $2) RETURNING id"
		id := large + strings.Repeat("y", i)
		g.Expect(conn.QueryRow(ctx, sql, id, i).Scan(&got)).To(Succeed())
		g.Expect(got == id).To(BeTrue(), "the answer is not whole")
	}
	stored, err := workload.CountStored(ctx, d.Hosts[1].CallerAddress(), "members")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored).To(HaveLen(2))
}
