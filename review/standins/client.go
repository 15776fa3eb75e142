package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 2 * time.Second

// statementIDs numbers the statements of all clients.
var statementIDs atomic.Int64

func newID(name string) string { return fmt.Sprintf("%s-%d", name, statementIDs.Add(1)) }

// reply is the answer to one statement.
type reply struct {
	rows            []string
	signature, code string
	state           string
}

// session is a client's connection to a daemon.
type session struct {
	name string
	conn net.Conn
	r    *bufio.Reader
	rec  *record
}

// openSession connects to a daemon and starts a session.
func openSession(rec *record, front, database, name string) (*session, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{name: name, conn: conn, r: bufio.NewReader(conn), rec: rec}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name); err != nil {
		conn.Close()
		return nil, err
	}
	line, err := s.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, fmt.Errorf("startup was answered with %q, %w", line, err)
	}
	return s, nil
}

// query sends a statement and waits for its answer.
func (s *session) query(id, text string) (reply, error) {
	s.rec.line("%s sends %s %q", s.name, id, text)
	_ = s.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{}, err
	}
	out, err := s.receive()
	s.rec.line("%s is answered %s: rows %q, complete %q, error %q, state %q, %v", s.name, id, out.rows, out.signature, out.code, out.state, err)
	return out, err
}

// receive reads one answer.
func (s *session) receive() (reply, error) {
	var out reply
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return out, err
		}
		verb, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch verb {
		case "ROW":
			out.rows = append(out.rows, rest)
		case "COMPLETE":
			out.signature = rest
		case "ERROR":
			out.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			out.state, _, _ = strings.Cut(rest, " ")
			return out, nil
		}
	}
}

// write is one write of an item, which gets increasing values.
type write struct {
	id, item string
	value    int
	sent     time.Time
	// acknowledged is when the client got the success; zero if it did not.
	acknowledged time.Time
}

// read is one successful read.
type read struct {
	id, item string
	value    int
	// sent is when the first byte was sent.
	sent time.Time
	// maxStaleness is how old the data may be.
	maxStaleness time.Duration
}

// history collects the clients' operations.
type history struct {
	mu     sync.Mutex
	writes []write
	reads  []read
}

// load runs operations one after the other in sessions at one daemon until stop is closed.
// A session that fails is replaced by a new one.
func load(rec *record, front, database, name string, pause time.Duration, stop <-chan struct{}, operate func(s *session) bool) {
	var s *session
	for {
		select {
		case <-stop:
			if s != nil {
				s.conn.Close()
			}
			return
		case <-time.After(pause):
		}
		if s == nil {
			var err error
			if s, err = openSession(rec, front, database, name); err != nil {
				s = nil
				continue
			}
		}
		if !operate(s) {
			s.conn.Close()
			s = nil
		}
	}
}

// writer returns an operation that writes the next value of the item.
func (h *history) writer(item string) func(*session) bool {
	value := 0
	return func(s *session) bool {
		value++
		w := write{id: newID(s.name), item: item, value: value, sent: time.Now()}
		out, err := s.query(w.id, fmt.Sprintf("WRITE %s %d", item, value))
		if err == nil && out.code == "" && out.signature != "" {
			w.acknowledged = time.Now()
		}
		h.mu.Lock()
		h.writes = append(h.writes, w)
		h.mu.Unlock()
		return err == nil && out.state == "I"
	}
}

// reader returns an operation that reads the item.
func (h *history) reader(item string, maxStaleness time.Duration) func(*session) bool {
	return func(s *session) bool {
		rd := read{id: newID(s.name), item: item, sent: time.Now(), maxStaleness: maxStaleness}
		out, err := s.query(rd.id, "READ "+item)
		if err == nil && out.code == "" && len(out.rows) == 1 {
			if value, err := strconv.Atoi(out.rows[0]); err == nil {
				rd.value = value
				h.mu.Lock()
				h.reads = append(h.reads, rd)
				h.mu.Unlock()
			}
		}
		return err == nil && out.state == "I"
	}
}

// acknowledged returns the number of acknowledged writes of the item.
func (h *history) acknowledged(item string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, w := range h.writes {
		if w.item == item && !w.acknowledged.IsZero() {
			count++
		}
	}
	return count
}

// checkStale reports each read that lacks a commit which was acknowledged before the read's
// first byte, by more than the age that its data may have. Commits that a promotion rolled back don't
// count.
func (h *history) checkStale(rec *record, g *group, item string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, rd := range h.reads {
		if rd.item != item {
			continue
		}
		var newest write
		for _, w := range h.writes {
			required := !w.acknowledged.IsZero() && w.acknowledged.Before(rd.sent.Add(-rd.maxStaleness))
			if w.item == item && required && !g.rolledBack[w.id] && w.value > newest.value {
				newest = w
			}
		}
		if rd.value < newest.value {
			count++
			if count <= 10 {
				rec.broken("STALE: %s, sent at %.3f with data up to %s old allowed, read %d; %s with value %d had been acknowledged at %.3f", rd.id, rec.at(rd.sent), rd.maxStaleness, rd.value, newest.id, newest.value, rec.at(newest.acknowledged))
			}
		}
	}
	rec.line("%d of %d reads of %s are stale", count, len(h.reads), item)
}
