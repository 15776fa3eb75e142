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

// Databases of the configuration, by the consistency of their reads.
const (
	strictDatabase  = "strict"
	boundedDatabase = "bounded"
	ownDatabase     = "own"
)

// staleness is the permitted age of data by database.
var staleness = map[string]time.Duration{
	strictDatabase: 0, boundedDatabase: 1500 * time.Millisecond, ownDatabase: 2500 * time.Millisecond,
}

const (
	// answerTimeout is when a caller gives up an answer.
	answerTimeout = 3 * time.Second
	// operationPause is the mean pause between two operations of a session.
	operationPause = 30 * time.Millisecond
	// sessionOperations is how many operations a session does at most.
	sessionOperations = 60
)

// promises are the codes which say that nothing of the attempt is kept.
var promises = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true,
}

// caller opens sessions one after the other and uses one item of its own.
type caller struct {
	name   string
	run    *runner
	random *rand.Rand
	// value counts the writes; acknowledged is the last value that was acknowledged.
	value, acknowledged int
	statements          int
}

// reply is the answer to one statement.
type reply struct {
	rows      []string
	signature string
	code      string
	state     string
}

// session is an open connection to a host.
type session struct {
	conn     net.Conn
	r        *bufio.Reader
	database string
	own      int
}

// work runs sessions until the context ends.
func (c *caller) work(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.session(ctx) {
			wait.Sleep(ctx, 50*time.Millisecond)
		}
	}
}

// session runs one session. It returns false if it could not be opened.
func (c *caller) session(ctx context.Context) bool {
	h := c.run.hosts[c.random.IntN(len(c.run.hosts))]
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	databases := []string{strictDatabase, boundedDatabase, ownDatabase}
	s := &session{conn: conn, r: bufio.NewReader(conn), database: databases[c.random.IntN(len(databases))]}
	if _, err := io.WriteString(conn, "STARTUP "+s.database+" "+c.name+"\r\n"); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	line, err := s.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		return false
	}
	if r, err := c.ask(s, "SET who "+c.name); err != nil || r.code != "" {
		return false
	}
	for range c.random.IntN(sessionOperations) {
		if ctx.Err() != nil || !c.operation(s) {
			return true
		}
		wait.Sleep(ctx, time.Duration(c.random.Int64N(int64(2*operationPause))))
	}
	_, _ = io.WriteString(conn, "TERMINATE\r\n")
	return true
}

// operation does one operation. It returns false if the session must end.
func (c *caller) operation(s *session) bool {
	switch n := c.random.IntN(10); {
	case n < 2:
		return c.write(s)
	case n < 4:
		return c.transaction(s)
	}
	return c.read(s)
}

// nextID returns an ID that no other statement has.
func (c *caller) nextID() string {
	c.statements++
	return fmt.Sprintf("%s-%d", c.name, c.statements)
}

// ask sends a statement with a new ID and returns its answer.
func (c *caller) ask(s *session, text string) (reply, error) { return c.askAs(s, c.nextID(), text) }

// askAs sends a statement and returns its answer.
func (c *caller) askAs(s *session, id, text string) (reply, error) {
	if err := s.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return reply{}, err
	}
	if _, err := io.WriteString(s.conn, "QUERY "+id+" "+text+"\r\n"); err != nil {
		return reply{}, err
	}
	var out reply
	for {
		line, err := s.r.ReadString('\n')
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
		case "READY":
			out.state, _, _ = strings.Cut(rest, " ")
			c.run.record.answered(out.code == "", promises[out.code])
			return out, nil
		default:
			c.run.record.violation("MIXED: %s was answered with %q", id, line)
			return reply{}, io.ErrUnexpectedEOF
		}
	}
}

// signed checks that an endpoint ran the statement of the ID.
func (c *caller) signed(id string, r reply) {
	if _, ran, _ := strings.Cut(r.signature, "/"); ran != id {
		c.run.record.violation("MIXED: %s carries the signature %q", id, r.signature)
	}
}

// settle records how a write ended.
func (c *caller) settle(s *session, w write, r reply, err error) {
	switch {
	case err == nil && r.code == "":
		w.acknowledged = time.Now()
		c.acknowledged, s.own = w.value, w.value
	case err == nil && promises[r.code]:
		w.refused = true
	}
	c.run.record.wrote(w)
}

// write writes the next value of the caller's item.
func (c *caller) write(s *session) bool {
	c.value++
	w := write{id: c.nextID(), item: c.name, value: c.value}
	r, err := c.askAs(s, w.id, fmt.Sprintf("WRITE %s %d", w.item, w.value))
	if err == nil && r.code == "" {
		c.signed(w.id, r)
	}
	c.settle(s, w, r, err)
	return err == nil && r.state == "I"
}

// transaction writes in a transaction and commits it, or rolls it back.
func (c *caller) transaction(s *session) bool {
	if r, err := c.ask(s, "BEGIN"); err != nil || r.code != "" {
		return err == nil && r.state == "I"
	}
	c.value++
	w := write{id: c.nextID(), item: c.name, value: c.value}
	r, err := c.askAs(s, w.id, fmt.Sprintf("WRITE %s %d", w.item, w.value))
	if err != nil || r.code != "" {
		// Without a commit nothing may be kept, whatever the answer was.
		w.refused = true
		c.run.record.wrote(w)
		return err == nil && c.rollback(s)
	}
	if c.random.IntN(5) == 0 {
		w.refused = true
		c.run.record.wrote(w)
		return c.rollback(s)
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(20 * time.Millisecond))))
	r, err = c.ask(s, "COMMIT")
	c.settle(s, w, r, err)
	return err == nil && r.state == "I"
}

// rollback ends a transaction.
func (c *caller) rollback(s *session) bool {
	r, err := c.ask(s, "ROLLBACK")
	return err == nil && r.state == "I"
}

// read reads an item of any caller.
func (c *caller) read(s *session) bool {
	item := c.name
	if c.random.IntN(2) == 0 {
		item = c.run.callers[c.random.IntN(len(c.run.callers))].name
	}
	d := read{id: c.nextID(), item: item, session: c.name, freshAt: time.Now().Add(-staleness[s.database])}
	if item == c.name && s.database == ownDatabase {
		d.own = s.own
	}
	r, err := c.askAs(s, d.id, "READ "+item)
	if err != nil || r.code != "" {
		return err == nil && r.state == "I"
	}
	c.signed(d.id, r)
	var who string
	if len(r.rows) != 1 {
		c.run.record.violation("MIXED: %s has %d rows", d.id, len(r.rows))
		return false
	}
	if _, err := fmt.Sscan(r.rows[0], &d.value, &who); err != nil || who != c.name {
		c.run.record.violation("PINNED: %s ran under the values of %q", d.id, who)
	}
	c.run.record.saw(d)
	return r.state == "I"
}
