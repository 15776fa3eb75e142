package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/entry"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

// rawCaller is a caller that sends and receives single messages of the protocol.
type rawCaller struct {
	*pgproto3.Frontend
	conn net.Conn
	g    *WithT
}

func (h *harness) dialRaw(t *testing.T) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", h.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	c := &rawCaller{Frontend: pgproto3.NewFrontend(conn, conn), conn: conn, g: NewWithT(t)}
	c.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "anna", "database": testPool}})
	c.g.Expect(c.Flush()).To(Succeed())
	c.receiveTypes('Z')
	return c
}

// receiveTypes reads messages up to one of type end and returns the types of all of them.
func (c *rawCaller) receiveTypes(end byte) string {
	var types []byte
	for {
		msg, err := c.Receive()
		if err != nil {
			return string(types) + " " + err.Error()
		}
		b, _ := msg.Encode(nil)
		types = append(types, b[0])
		if b[0] == end {
			return string(types)
		}
	}
}

// Guards the order of the messages in the answer to an extended batch: a Parse that the
// entry added is not answered, an error is sent once with one ReadyForQuery, a failed
// Parse creates no statement, and Flush is answered.
func TestExtendedBatches(t *testing.T) {
	h := newHarness(t, nil)
	c := h.dialRaw(t)
	bind := func(statement string) {
		c.Send(&pgproto3.Bind{PreparedStatement: statement})
		c.Send(&pgproto3.Describe{ObjectType: 'P'})
		c.Send(&pgproto3.Execute{})
	}
	steps := []struct {
		name string
		send func()
		end  byte
		want string
	}{
		{"parse two", func() {
			c.Send(&pgproto3.Parse{Name: "a", Query: "select 1"})
			c.Send(&pgproto3.Parse{Name: "b", Query: "select 2"})
			c.Send(&pgproto3.Sync{})
		}, 'Z', "11Z"},
		{"bind both", func() { bind("a"); bind("b"); bind("a"); c.Send(&pgproto3.Sync{}) }, 'Z', "2TDC2TDC2TDCZ"},
		{"duplicate", func() { c.Send(&pgproto3.Parse{Name: "a", Query: "select 3"}); bind("a"); c.Send(&pgproto3.Sync{}) }, 'Z', "EZ"},
		{"failed parse", func() { c.Send(&pgproto3.Parse{Name: "c", Query: "syntax error"}); c.Send(&pgproto3.Sync{}) }, 'Z', "EZ"},
		{"statement of failed parse", func() { bind("c"); c.Send(&pgproto3.Sync{}) }, 'Z', "EZ"},
		{"close and parse again", func() {
			c.Send(&pgproto3.Close{ObjectType: 'S', Name: "a"})
			c.Send(&pgproto3.Parse{Name: "a", Query: "select 4"})
			bind("a")
			c.Send(&pgproto3.Sync{})
		}, 'Z', "312TDCZ"},
		{"close only", func() { c.Send(&pgproto3.Close{ObjectType: 'S', Name: "b"}); c.Send(&pgproto3.Sync{}) }, 'Z', "3Z"},
		{"closed", func() { bind("b"); c.Send(&pgproto3.Sync{}) }, 'Z', "EZ"},
		{"describe with flush", func() {
			c.Send(&pgproto3.Parse{Query: "select $1"})
			c.Send(&pgproto3.Describe{ObjectType: 'S'})
			c.Send(&pgproto3.Flush{})
		}, 'T', "1tT"},
		{"rest after flush", func() {
			c.Send(&pgproto3.Bind{Parameters: [][]byte{nil}})
			c.Send(&pgproto3.Execute{})
			c.Send(&pgproto3.Sync{})
		}, 'Z', "2DCZ"},
		{"error before flush", func() { c.Send(&pgproto3.Parse{Query: "syntax error"}); c.Send(&pgproto3.Flush{}) }, 'E', "E"},
		{"skipped query", func() { c.Send(&pgproto3.Query{String: "select 1"}) }, 0, ""},
		{"skipped up to sync", func() { bind(""); c.Send(&pgproto3.Sync{}) }, 'Z', "Z"},
		{"set", func() {
			c.Send(&pgproto3.Parse{Query: "SET application_name = 'x'"})
			c.Send(&pgproto3.Describe{ObjectType: 'S'})
			bind("")
			c.Send(&pgproto3.Sync{})
		}, 'Z', "1tn2nCZ"},
		{"two in one write", func() {
			c.Send(&pgproto3.Query{String: "select 1"})
			c.Send(&pgproto3.Query{String: "select 2"})
		}, 'Z', "TDCZ"},
		{"second of them", func() {}, 'Z', "TDCZ"},
		{"function call", func() { c.Send(&pgproto3.FunctionCall{}) }, 'Z', "EZ"},
	}
	for _, s := range steps {
		s.send()
		c.g.Expect(c.Flush()).To(Succeed())
		if s.end == 0 {
			continue // No answer is expected.
		}
		c.g.Expect(c.receiveTypes(s.end)).To(Equal(s.want), s.name)
	}
}

// Guards against session state that is silently dropped, and against refusing the settings
// that common drivers send.
func TestSessionState(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, nil)
	conn := h.connect(t, "&application_name=test&options=-c%20timezone%3DUTC%20-c%20beryltrestle.session%3Ds9")
	ctx := testContext(t)
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
		for _, text := range []string{
			"LISTEN x", "notify x", "select pg_advisory_lock(1)", "SET search_path = x", "set work_mem to '1MB'",
			"prepare p as select 1", "deallocate p", "create temp table x ()", "/* c */ declare c cursor with hold for select 1",
			"select set_config('a', 'b', false)", "select * into temp x from y", "copy x from stdin", "select 1; set a = 1", "set datestyle = german",
		} {
			_, err := conn.Exec(ctx, text, mode)
			g.Expect(pgError(g, err).Code).To(Equal("0A000"), text)
			g.Expect(pgError(g, err).Detail).To(Equal("outcome=not_run reason=refused.session_state"), text)
		}
		for _, text := range []string{
			"SET client_encoding TO 'UTF8'", "set application_name = 'y'", "set extra_float_digits = 3", "SET DateStyle = 'ISO, MDY'",
			"set time zone 'UTC'", "SET SESSION timezone = UTC", "DISCARD ALL", "reset all", "DEALLOCATE ALL",
		} {
			_, err := conn.Exec(ctx, text, mode)
			g.Expect(err).NotTo(HaveOccurred(), text)
			if strings.Contains(text, "ALL") {
				g.Expect(conn.DeallocateAll(ctx)).To(Succeed()) // Clears the cache of pgx.
			}
		}
	}
	g.Expect(h.owner.receivedRequests()).To(BeEmpty())
	_, err := conn.Exec(ctx, "select pg_advisory_xact_lock(1), 'LISTEN; pg_notify(' /* request_key=k1 */", pgx.QueryExecModeSimpleProtocol)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.owner.receivedRequests()[0].GetRequestKey()).To(Equal("k1"))
	g.Expect(h.owner.receivedRequests()[0].GetSession()).To(Equal("s9"))
}

// Guards the startup: an unknown pool, a startup option that needs session state and too
// many callers must be refused; TLS and a later protocol version must work.
func TestStartup(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, func(c *entry.Config) {
		c.MaxCallers = 1
		c.TLS = &tls.Config{Certificates: []tls.Certificate{selfSigned(t)}}
	})
	ctx := testContext(t)
	connect := func(dsn string) error {
		conn, err := pgx.Connect(ctx, dsn)
		if err == nil {
			_ = conn.Close(ctx)
		}
		return err
	}
	g.Expect(pgError(g, connect("postgres://anna@"+h.callerAddress+"/other?sslmode=disable")).Code).To(Equal("3D000"))
	g.Expect(pgError(g, connect(h.dsn("&search_path=x"))).Code).To(Equal("0A000"))
	g.Expect(connect("postgres://anna@" + h.callerAddress + "/" + testPool + "?sslmode=require")).To(Succeed())
	g.Eventually(func() error { return connect(h.dsn("&max_protocol_version=latest")) }).Should(Succeed())
	g.Eventually(func() int64 { return h.metrics.Values()[string(metrics.CallersOpen)] }).Should(BeZero())
	h.connect(t, "")
	g.Expect(pgError(g, connect(h.dsn(""))).Code).To(Equal("53300"))
}

func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Guards against a connection that harms others: malformed or oversized input, and a
// startup that is never completed, must end only that connection.
func TestMalformedInputEndsOnlyItsConnection(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, func(c *entry.Config) {
		c.MaxMessageBytes = 1 << 20
		c.StartupTimeout = 200 * time.Millisecond
	})
	good := h.connect(t, "")
	for name, tc := range map[string]struct {
		bytes []byte
		code  string
	}{
		"unknown type":    {[]byte{'?', 0, 0, 0, 4}, "08P01"},
		"negative length": {[]byte{'Q', 0xff, 0xff, 0xff, 0xff}, "08P01"},
		"bad Bind":        {[]byte{'B', 0, 0, 0, 8, 1, 2, 3, 4}, "08P01"},
		"oversized":       {[]byte{'Q', 0x10, 0, 0, 0}, "54000"},
		"password":        {[]byte{'p', 0, 0, 0, 5, 0}, "08P01"},
	} {
		c := h.dialRaw(t)
		_, err := c.conn.Write(tc.bytes)
		g.Expect(err).NotTo(HaveOccurred())
		msg, err := c.Receive()
		g.Expect(err).NotTo(HaveOccurred(), name)
		e, ok := msg.(*pgproto3.ErrorResponse)
		g.Expect(ok).To(BeTrue(), name)
		g.Expect(e.Code).To(Equal(tc.code), name)
		g.Expect(e.Severity).To(Equal("FATAL"), name)
		_, err = c.Receive()
		g.Expect(err).To(HaveOccurred(), name)
	}
	c := h.dialRaw(t)
	for range 3 {
		c.Send(&pgproto3.Parse{Query: strings.Repeat("x", 1<<19)})
	}
	_ = c.Flush()
	g.Expect(c.receiveTypes('E')).To(Equal("E"), "oversized batch")

	incomplete, err := net.Dial("tcp", h.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	defer incomplete.Close()
	_ = incomplete.SetDeadline(time.Now().Add(testTimeout))
	start := time.Now()
	_, err = incomplete.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))

	_, err = good.Exec(testContext(t), readText)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a CancelRequest that has no effect or ends the connection.
func TestCancel(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, nil)
	conn := h.connect(t, "")
	started := make(chan struct{})
	h.owner.serve = func(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter) {
		if !strings.Contains(string(req.GetBatch()), "slow") {
			answerBatch(req, w)
			return
		}
		close(started)
		<-ctx.Done()
		w.Finish(&peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_NOT_RUN, Reason: "refused.canceled", Sqlstate: "57014", TransactionStatus: "I"})
	}
	go func() {
		<-started
		_ = conn.PgConn().CancelRequest(testContext(t))
	}()
	_, err := conn.Exec(testContext(t), "select 'slow'", pgx.QueryExecModeSimpleProtocol)
	g.Expect(pgError(g, err).Code).To(Equal("57014"))
	_, err = conn.Exec(testContext(t), readText)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against requests that keep running and transactions that stay open after their
// caller has disconnected.
func TestDisconnectedCallerIsCleanedUp(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, nil)
	ended := make(chan struct{}, 1)
	c := h.dialRaw(t)
	c.Send(&pgproto3.Query{String: "begin"})
	g.Expect(c.Flush()).To(Succeed())
	c.receiveTypes('Z')
	h.owner.setServe(func(ctx context.Context, _ *peerv1.Request, w peer.AnswerWriter) {
		<-ctx.Done()
		ended <- struct{}{}
		w.Finish(&peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_DONE, TransactionStatus: "T"})
	})
	c.Send(&pgproto3.Query{String: writeText})
	g.Expect(c.Flush()).To(Succeed())
	g.Eventually(h.owner.receivedRequests).Should(HaveLen(2))
	c.conn.Close()
	g.Eventually(ended).Should(Receive())
	begin := h.owner.receivedRequests()[0]
	g.Eventually(h.owner.closedTransactions).Should(ContainElement(string(begin.GetRequestId())))
	g.Eventually(func() int64 { return h.metrics.Values()[string(metrics.CallersOpen)] }).Should(BeZero())
}

// Guards against a transaction that stays open after its caller has disconnected between
// two requests.
func TestDisconnectedIdleCallerIsCleanedUp(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, nil)
	c := h.dialRaw(t)
	c.Send(&pgproto3.Query{String: "begin"})
	g.Expect(c.Flush()).To(Succeed())
	c.receiveTypes('Z')
	c.conn.Close()
	begin := h.owner.receivedRequests()[0]
	g.Eventually(h.owner.closedTransactions).Should(ContainElement(string(begin.GetRequestId())))
}

// Guards against a caller that reads a large result slowly and thereby delays others.
func TestSlowCallerDoesNotDelayOthers(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, nil)
	const rows = 20_000
	h.owner.serve = func(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) {
		if !strings.Contains(string(req.GetBatch()), "large") {
			answerBatch(req, w)
			return
		}
		_, _ = w.Write(rowHeader())
		for range rows {
			if _, err := w.Write(largeRow); err != nil {
				break
			}
		}
		complete, _ := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 20000")}).Encode(nil)
		_, _ = w.Write(complete)
		w.Finish(&peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_DONE, TransactionStatus: "I"})
	}
	slow := h.connect(t, "")
	result, err := slow.Query(testContext(t), "select 'large'", pgx.QueryExecModeSimpleProtocol)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	quick := h.connect(t, "")
	start := time.Now()
	for range 50 {
		_, err := quick.Exec(testContext(t), readText, pgx.QueryExecModeSimpleProtocol)
		g.Expect(err).NotTo(HaveOccurred())
	}
	t.Logf("50 short requests beside a caller that does not read: %v", time.Since(start))
	n := 0
	for result.Next() {
		n++
	}
	g.Expect(result.Err()).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(rows))
}

// Guards guarantee 8 for callers: a drain ends idle connections with 57P01, and cuts off
// neither a request in flight nor an open transaction.
func TestDrain(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, nil)
	release := make(chan struct{})
	h.owner.serve = func(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) {
		if strings.Contains(string(req.GetBatch()), "slow") {
			<-release
		}
		answerBatch(req, w)
	}
	ctx := testContext(t)
	idle, busy, open := h.dialRaw(t), h.connect(t, ""), h.connect(t, "")
	tx, err := open.Begin(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	slow := make(chan error, 1)
	go func() {
		_, err := busy.Exec(ctx, "select 'slow'", pgx.QueryExecModeSimpleProtocol)
		slow <- err
	}()
	g.Eventually(h.owner.receivedRequests).Should(HaveLen(2))

	drained := make(chan error, 1)
	go func() { drained <- h.server.Drain(ctx) }()
	msg, err := idle.Receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(msg.(*pgproto3.ErrorResponse).Code).To(Equal("57P01"))
	_, err = pgconn.Connect(ctx, h.dsn(""))
	g.Expect(err).To(HaveOccurred())
	g.Consistently(drained, 100*time.Millisecond).ShouldNot(Receive())
	close(release)
	g.Eventually(slow).Should(Receive(BeNil()))
	_, err = tx.Exec(ctx, writeText)
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(drained, 100*time.Millisecond).ShouldNot(Receive())
	g.Expect(tx.Commit(ctx)).To(Succeed())
	g.Eventually(drained).Should(Receive(BeNil()))
}

// Guards against requests that are lost when a drain begins. Each one must either succeed
// or be reported as not run, and in the latter case it must not have run.
func TestDrainUnderLoad(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, nil)
	ctx := testContext(t)
	const callers = 20
	type count struct{ done, notRun, other int }
	counts := make(chan count, callers)
	for range callers {
		conn := h.connect(t, "")
		go func() {
			var c count
			for {
				_, err := conn.Exec(ctx, writeText, pgx.QueryExecModeSimpleProtocol)
				if err == nil {
					c.done++
					continue
				}
				var pg *pgconn.PgError
				switch {
				case errors.As(err, &pg) && pg.Code == "57P01":
					c.notRun++
				default:
					t.Logf("other error: %v", err)
					c.other++
				}
				counts <- c
				return
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	g.Expect(h.server.Drain(ctx)).To(Succeed())
	total := count{}
	for range callers {
		c := <-counts
		total.done += c.done
		total.notRun += c.notRun
		total.other += c.other
	}
	t.Logf("%+v", total)
	g.Expect(total.other).To(BeZero())
	g.Expect(h.owner.receivedRequests()).To(HaveLen(total.done))
}
