package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answerTimeout is how long a requester waits for an answer.
const answerTimeout = 4 * time.Second

// lastID numbers the statements.
var lastID atomic.Uint64

// session is a requester's connection to a host.
type session struct {
	conn   net.Conn
	r      *bufio.Reader
	record *record
	// values are the session values that were acknowledged.
	values map[string]string
}

// answer is the answer to one statement. code is empty for a success.
type answer struct{ row, signature, code, state string }

var errRefused = errors.New("the session was refused")

func dial(address, database, who string, rec *record) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, r: bufio.NewReader(conn), record: rec}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second)) // Fails only on a closed connection.
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, who)
	line, err := s.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("%w: %s", errRefused, strings.TrimSpace(line))
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// nextID returns a new id of a statement.
func nextID() string { return fmt.Sprintf("q%d", lastID.Add(1)) }

// send sends a statement and waits for its answer.
func (s *session) send(id, text string) (answer, error) {
	s.record.line("sent %s %q", id, text)
	a, err := s.exchange(id, text)
	switch {
	case err != nil:
		s.record.line("no answer to %s: %v", id, err)
	case a.code != "":
		s.record.line("answer to %s: %s", id, a.code)
	default:
		s.record.line("answer to %s: done %s %s", id, a.row, a.signature)
	}
	return a, err
}

func (s *session) exchange(id, text string) (answer, error) {
	_ = s.conn.SetDeadline(time.Now().Add(answerTimeout)) // Fails only on a closed connection.
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return a, err
		}
		verb, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch verb {
		case "ROW":
			a.row = rest
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", line)
		}
	}
}

// counts says how many operations were sent and how many of them were served.
type counts struct {
	mu           sync.Mutex
	sent, served int
}

func (c *counts) add(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if served {
		c.served++
	}
}

// take returns the counts and sets them to zero.
func (c *counts) take() (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, served = c.sent, c.served
	c.sent, c.served = 0, 0
	return sent, served
}

// randomHost returns a host of the fleet.
func (f *fleet) randomHost() *host {
	hosts := f.list()
	if len(hosts) == 0 {
		return nil
	}
	return hosts[rand.IntN(len(hosts))]
}
