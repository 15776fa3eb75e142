package soak

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stand-in that answers while it stands still, loses what waits in a connection
// that was reset meanwhile, or is demoted before it has read that.
func TestStalledEndpointReadsWhatWaitsBeforeItIsDemoted(t *testing.T) {
	g := NewWithT(t)
	database := newGroup("g", 2)
	old, successor := database.endpoints[0], database.endpoints[1]
	l, err := listen()
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go serveEndpoint(database, old, l)
	open := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "STARTUP g h %s\r\n", old.id)
		g.Expect(err).NotTo(HaveOccurred())
		return conn, bufio.NewReader(conn)
	}
	writer, fromWriter := open()
	demoter, fromDemoter := open()
	defer demoter.Close()
	for _, r := range []*bufio.Reader{fromWriter, fromDemoter} {
		g.Expect(r.ReadString('\n')).To(HavePrefix("READY"))
	}

	database.stall(old)
	_, err = fmt.Fprint(demoter, "QUERY - DEMOTE 2\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprint(writer, "QUERY - SET who c1\r\nQUERY late WRITE a 1\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writer.(*net.TCPConn).SetLinger(0)).To(Succeed())
	writer.Close()
	g.Expect(database.promote(successor.id, "h", 1)).To(BeTrue())
	database.mu.Lock()
	g.Expect(database.commitCounts).To(BeEmpty())
	g.Expect(old.primary).To(BeTrue())
	database.mu.Unlock()

	database.resume(old)
	g.Expect(fromDemoter.ReadString('\n')).To(HavePrefix("ROW replica"))
	database.mu.Lock()
	defer database.mu.Unlock()
	g.Expect(database.commitCounts).To(HaveKeyWithValue("late", 1))
	g.Expect(database.executions).To(HaveLen(1))
	g.Expect(database.executions[0].receivedAt).To(BeTemporally(">=", old.resumedAt))
	g.Expect(database.executions[0].waited).To(BeNumerically(">", promotionTime-time.Millisecond))
}

// Guards against a judge that allows statements which were sent to an endpoint that had stood still for
// longer, or that were stale without a stall.
func TestOnlyStatementsThatArriveAtTheStallAreAllowed(t *testing.T) {
	g := NewWithT(t)
	stalled := time.Now()
	allowed := func(arrived, read, grace time.Duration) bool {
		x := execution{stalledAt: stalled, ranSince: stalled.Add(-time.Minute), receivedAt: stalled.Add(read), waited: read - arrived}
		return x.arrivedAtStall(grace)
	}
	const grace = 300 * time.Millisecond
	g.Expect(allowed(grace-1, time.Second, grace)).To(BeTrue())
	g.Expect(allowed(-time.Second, time.Second, grace)).To(BeTrue())
	g.Expect(allowed(grace, time.Second, grace)).To(BeFalse())
	g.Expect(allowed(-2*time.Minute, time.Second, grace)).To(BeFalse(), "in an earlier stall")
	g.Expect(allowed(grace-1, time.Second, 0)).To(BeFalse())
	g.Expect(allowed(-2*time.Second, -time.Second, grace)).To(BeFalse())
	g.Expect(execution{receivedAt: stalled}.arrivedAtStall(grace)).To(BeFalse())
}
