package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Databases of the configuration, one for each consistency of reads.
const (
	strictDatabase         = "strict"
	boundedDatabase        = "bounded"
	readYourWritesDatabase = "own"
)

// maxStaleness is the permitted age of the data that a database returns.
var maxStaleness = map[string]time.Duration{
	strictDatabase: 0, boundedDatabase: 1500 * time.Millisecond, readYourWritesDatabase: 2500 * time.Millisecond,
}

const (
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 3 * time.Second
	// meanOperationPause is the mean pause between two operations of a session.
	meanOperationPause = 30 * time.Millisecond
	// preparedWrite is the name of the write that each session prepares.
	preparedWrite = "save"
	// maxSessionOperations bounds the number of operations of a session. Every fourth caller keeps
	// its sessions longer by longSessionFactor, so that it uses open connections of a host until
	// the host's process is gone.
	maxSessionOperations = 60
	longSessionFactor    = 20
)

// notAppliedCodes are the error codes which guarantee that the statement had no effect.
var notAppliedCodes = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true,
	// A statement whose key was withdrawn does not run, and its transaction is rolled back.
	"NOAUTH": true,
}

// caller opens one session after the other. It writes only its own item, which has the
// caller's name.
type caller struct {
	name   string
	index  int
	runner *runner
	random *rand.Rand
	// team is the caller's team as it was configured at first; nil in runs without teams.
	team *team
	// lastWritten is the last value that the caller tried to write, and
	// lastAcknowledged the last one whose write was acknowledged.
	lastWritten, lastAcknowledged int
	// statements counts the statements that the caller sent.
	statements int
}

// reply is the answer to one statement.
type reply struct {
	rows      []string
	signature string
	code      string
	txState   string
}

// session is an open connection to a host.
type session struct {
	conn     net.Conn
	reader   *bufio.Reader
	database string
	// key identifies the caller. In runs without teams it is the caller's name.
	key string
	// txBegan is when the first byte of the open transaction was sent; zero outside one.
	txBegan time.Time
	// lastOwnWrite is the last value whose write was acknowledged in this session.
	lastOwnWrite int
}

// runSessions runs sessions until the context ends.
func (c *caller) runSessions(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.runSession(ctx) {
			wait.Sleep(ctx, 50*time.Millisecond)
		}
	}
}

// runSession runs one session with a random host and database. It returns false if the
// session could not be opened.
func (c *caller) runSession(ctx context.Context) bool {
	databases := []string{strictDatabase, boundedDatabase, readYourWritesDatabase}
	h := c.runner.randomHost(c.random)
	if c.runner.cfg.script != nil {
		hosts := c.runner.hostList()
		h = hosts[c.index%len(hosts)]
		if !c.runner.cfg.allDatabases {
			databases = databases[:1]
		}
	}
	conn, err := net.DialTimeout("tcp", h.callerAddress, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	s := &session{conn: conn, reader: bufio.NewReader(conn), database: databases[c.random.IntN(len(databases))]}
	s.key = c.chooseKey()
	startup := c.keyed(s)
	if _, err := io.WriteString(conn, "STARTUP "+s.database+" "+s.key+"\r\n"); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	line, err := s.reader.ReadString('\n')
	if c.team != nil && strings.HasPrefix(line, "ERROR NOAUTH") {
		c.runner.recorder.addDenied(startup)
	}
	if err != nil || !strings.HasPrefix(line, "READY") {
		return false
	}
	if r, err := c.send(s, "SET who "+c.name); err != nil || r.code != "" {
		return false
	}
	if r, err := c.send(s, "PREPARE "+preparedWrite+" WRITE shape"); err != nil || r.code != "" {
		return false
	}
	operations := c.random.IntN(maxSessionOperations)
	if c.index%4 == 0 {
		operations *= longSessionFactor
	}
	for range operations {
		if ctx.Err() != nil || !c.runOperation(s) {
			return true
		}
		wait.Sleep(ctx, time.Duration(c.random.Int64N(int64(2*meanOperationPause))))
	}
	_, _ = io.WriteString(conn, "TERMINATE\r\n")
	return true
}

// runOperation runs a random operation. It returns false if the session must end.
func (c *caller) runOperation(s *session) bool {
	switch n := c.random.IntN(10); {
	case n < 2:
		return c.write(s)
	case n < 4:
		return c.transaction(s)
	}
	return c.read(s)
}

// newID returns a unique statement ID.
func (c *caller) newID() string {
	c.statements++
	return fmt.Sprintf("%s-%d", c.name, c.statements)
}

// send sends a statement with a new ID and returns its answer.
func (c *caller) send(s *session, text string) (reply, error) { return c.sendAs(s, c.newID(), text) }

// sendAs sends a statement with the given ID and returns its answer.
func (c *caller) sendAs(s *session, id, text string) (reply, error) {
	if err := s.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return reply{}, err
	}
	keyed := c.keyed(s)
	if c.team != nil {
		c.runner.recorder.addKeyed(id, keyed)
	}
	c.recordSent(s, id, text)
	if _, err := io.WriteString(s.conn, "QUERY "+id+" "+text+"\r\n"); err != nil {
		return reply{}, err
	}
	var out reply
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return reply{}, err
		}
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch verb {
		case "ROW":
			out.rows = append(out.rows, rest)
		case "COMPLETE":
			out.signature = rest
		case "ERROR":
			out.code, _, _ = strings.Cut(rest, " ")
			if c.team != nil && out.code == "NOAUTH" {
				c.runner.recorder.addDenied(keyed)
			}
		case "READY":
			out.txState, _, _ = strings.Cut(rest, " ")
			if out.txState == "I" {
				s.txBegan = time.Time{}
			}
			c.runner.recorder.countAnswer(out.code == "", notAppliedCodes[out.code])
			return out, nil
		default:
			c.runner.recorder.addViolation("MIXED: %s was answered with %q", id, line)
			return reply{}, io.ErrUnexpectedEOF
		}
	}
}

// recordSent records when the first byte of a statement that needs the primary, or of its
// transaction, is sent. The writes of every database and all statements of the strict one need
// the primary.
func (c *caller) recordSent(s *session, id, text string) {
	now := time.Now()
	if text == "BEGIN" {
		s.txBegan = now
	}
	if !s.txBegan.IsZero() {
		now = s.txBegan
	}
	// Callers prepare only writes.
	if verb, _, _ := strings.Cut(text, " "); verb == "WRITE" || verb == "EXECUTE" || verb == "READ" && s.database == strictDatabase {
		c.runner.recorder.addSent(id, now)
	}
}

// checkSignature checks that the answer's signature names the statement ID, so that the
// answer belongs to this statement.
func (c *caller) checkSignature(id string, r reply) {
	if _, ran, _ := strings.Cut(r.signature, "/"); ran != id {
		c.runner.recorder.addViolation("MIXED: %s carries the signature %q", id, r.signature)
	}
}

// recordWrite records a write with its outcome.
func (c *caller) recordWrite(s *session, w write, r reply, err error) {
	switch {
	case err == nil && r.code == "":
		w.acknowledged = time.Now()
		c.lastAcknowledged, s.lastOwnWrite = w.value, w.value
	case err == nil && notAppliedCodes[r.code]:
		w.refused = true
	}
	c.runner.recorder.addWrite(w)
}

// sendWrite sends a write, in half of the cases as a prepared statement.
func (c *caller) sendWrite(s *session, w write) (reply, error) {
	verb := "WRITE"
	if c.random.IntN(2) == 0 {
		verb = "EXECUTE " + preparedWrite
	}
	return c.sendAs(s, w.id, fmt.Sprintf("%s %s %d", verb, w.item, w.value))
}

// write writes the next value of the caller's item outside a transaction. It returns
// false if the session must end.
func (c *caller) write(s *session) bool {
	c.lastWritten++
	w := write{id: c.newID(), item: c.name, value: c.lastWritten}
	r, err := c.sendWrite(s, w)
	if err == nil && r.code == "" {
		c.checkSignature(w.id, r)
	}
	c.recordWrite(s, w, r, err)
	return err == nil && r.txState == "I"
}

// transaction writes the next value of the caller's item in a transaction, which it
// commits or, in one of five cases, rolls back. It returns false if the session must end.
func (c *caller) transaction(s *session) bool {
	if r, err := c.send(s, "BEGIN"); err != nil || r.code != "" {
		return err == nil && r.txState == "I"
	}
	c.lastWritten++
	w := write{id: c.newID(), item: c.name, value: c.lastWritten}
	r, err := c.sendWrite(s, w)
	if err != nil || r.code != "" {
		// Without a commit the write must have no effect, whatever the answer was.
		w.refused = true
		c.runner.recorder.addWrite(w)
		return err == nil && c.rollback(s)
	}
	if c.random.IntN(5) == 0 {
		w.refused = true
		c.runner.recorder.addWrite(w)
		return c.rollback(s)
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(20 * time.Millisecond))))
	r, err = c.send(s, "COMMIT")
	c.recordWrite(s, w, r, err)
	return err == nil && r.txState == "I"
}

// rollback rolls back the open transaction. It returns false if the session must end.
func (c *caller) rollback(s *session) bool {
	r, err := c.send(s, "ROLLBACK")
	return err == nil && r.txState == "I"
}

// read reads the caller's own item or that of a random caller. It returns false if the
// session must end.
func (c *caller) read(s *session) bool {
	item := c.name
	if c.random.IntN(2) == 0 {
		item = c.runner.callers[c.random.IntN(len(c.runner.callers))].name
	}
	rd := read{id: c.newID(), item: item, session: c.name, freshAt: time.Now().Add(-maxStaleness[s.database])}
	if item == c.name && s.database == readYourWritesDatabase {
		rd.own = s.lastOwnWrite
	}
	r, err := c.sendAs(s, rd.id, "READ "+item)
	if err != nil || r.code != "" {
		return err == nil && r.txState == "I"
	}
	c.checkSignature(rd.id, r)
	var who string
	if len(r.rows) != 1 {
		c.runner.recorder.addViolation("MIXED: %s has %d rows", rd.id, len(r.rows))
		return false
	}
	if _, err := fmt.Sscan(r.rows[0], &rd.value, &who); err != nil || who != c.name {
		c.runner.recorder.addViolation("PINNED: %s ran under the values of %q", rd.id, who)
	}
	c.runner.recorder.addRead(rd)
	return r.txState == "I"
}
