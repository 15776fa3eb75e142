package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strings"
	"time"
)

const (
	// readTime and writeTime are how long statements take.
	readTime  = 3 * time.Millisecond
	writeTime = 5 * time.Millisecond
	// syncTimeout limits how long a commit waits for its replicas; it is then answered
	// with TIMEOUT, which says that it ran.
	syncTimeout = 2 * time.Second
)

// serverConn serves one connection to a server in the line protocol.
type serverConn struct {
	server   *server
	conn     net.Conn
	values   map[string]string
	prepared map[string]string

	inTx, failed, readOnly bool
	ids                    []string
	items                  map[string]string
}

func (s *server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		c := &serverConn{server: s, conn: conn}
		c.reset()
		go c.serve()
	}
}

func (c *serverConn) reset() { c.values, c.prepared = map[string]string{}, map[string]string{} }

// readMessage reads one message: a line that ends with CR LF.
func readMessage(r *bufio.Reader) (string, error) {
	var message strings.Builder
	for {
		part, err := r.ReadString('\n')
		message.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(part, "\r\n") || part == "\n" && strings.HasSuffix(message.String(), "\r\n") {
			return strings.TrimSuffix(message.String(), "\r\n"), nil
		}
	}
}

// open adds the connection to the server's, and returns the code with which it is refused.
func (c *serverConn) open(startup []string) string {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	switch {
	case startup[1] != s.group.service || len(startup) > 3 && startup[3] != s.id:
		return "MISROUTED"
	case len(s.conns) >= maxConns:
		return "TOOMANY"
	}
	s.conns[c.conn] = true
	return ""
}

func (c *serverConn) serve() {
	defer func() {
		c.conn.Close()
		c.server.group.mu.Lock()
		delete(c.server.conns, c.conn)
		c.server.group.mu.Unlock()
	}()
	r := bufio.NewReader(c.conn)
	message, err := readMessage(r)
	startup := strings.Fields(message)
	if err != nil || len(startup) < 3 || startup[0] != "STARTUP" {
		return
	}
	if code := c.open(startup); code != "" {
		fmt.Fprintf(c.conn, "ERROR %s %s\r\n", code, c.server.id)
		return
	}
	answer := c.ready()
	for {
		if _, err := c.conn.Write([]byte(answer)); err != nil {
			return
		}
		message, err := readMessage(r)
		verb, rest, _ := strings.Cut(message, " ")
		id, text, _ := strings.Cut(rest, " ")
		if err != nil || verb != "QUERY" {
			return
		}
		answer = c.run(id, text)
	}
}

// ready returns the READY message.
func (c *serverConn) ready() string {
	c.server.group.mu.Lock()
	defer c.server.group.mu.Unlock()
	state := "I"
	switch {
	case c.inTx && c.failed:
		state = "E"
	case c.inTx:
		state = "T"
	}
	return fmt.Sprintf("READY %s %s\r\n", state, c.server.end())
}

// run runs a statement and returns the whole answer.
func (c *serverConn) run(id, text string) string {
	verb, _, _ := strings.Cut(text, " ")
	switch verb {
	case "READ", "AFTER":
		time.Sleep(readTime)
	case "WRITE", "EXECUTE", "COMMIT":
		time.Sleep(writeTime)
	}
	row, code := c.statement(id, text)
	if id != "-" {
		c.server.group.mu.Lock()
		c.server.group.ran = append(c.server.group.ran, ranStatement{id: id, text: text})
		c.server.group.mu.Unlock()
		c.server.group.record.line("server %s runs %s %q: row %q, code %q", c.server.id, id, text, row, code)
	}
	if code != "" {
		c.failed = c.inTx
		return "ERROR " + code + " " + c.server.id + "\r\n" + c.ready()
	}
	signature := "-"
	if id != "-" {
		signature = c.server.id + "." + id
	}
	if row != "" {
		row = "ROW " + row + "\r\n"
	}
	return row + "COMPLETE " + signature + "\r\n" + c.ready()
}

// statement runs a statement and returns its row or the code of its error.
func (c *serverConn) statement(id, text string) (row, code string) {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.server.up {
		return "", "BUSY"
	}
	verb, rest, _ := strings.Cut(text, " ")
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return "", "MALFORMED"
	}
	if verb == "AFTER" {
		var want position
		at, statement, _ := strings.Cut(rest, " ")
		if _, err := fmt.Sscanf(at, "%d.%d", &want.term, &want.number); err != nil {
			return "", "MALFORMED"
		}
		if !c.server.end().covers(want) {
			return "", "LAGGING"
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	if c.inTx && !c.readOnly && !c.server.primary && verb != "ROLLBACK" && !(verb == "COMMIT" && len(c.ids) == 0) {
		return "", "READONLY"
	}
	name, args, _ := strings.Cut(rest, " ")
	switch verb {
	case "BEGIN":
		if rest != "READ" && !c.server.primary {
			return "", "READONLY"
		}
		c.inTx, c.failed, c.readOnly, c.ids, c.items = true, false, rest == "READ", nil, map[string]string{}
	case "COMMIT":
		return "", c.commit()
	case "ROLLBACK":
		c.inTx, c.failed, c.ids, c.items = false, false, nil, nil
	case "SET":
		c.values[name] = args
	case "RESET":
		c.reset()
	case "PREPARE":
		c.prepared[name] = args
	case "DEALLOC":
		delete(c.prepared, name)
	case "EXECUTE":
		shape, ok := c.prepared[name]
		switch {
		case !ok:
			return "", "NOSTMT"
		case strings.HasPrefix(shape, "READ"):
			return c.read(args), ""
		}
		return "", c.write(id, args)
	case "READ":
		return c.read(rest), ""
	case "WRITE":
		return "", c.write(id, rest)
	case "STATUS", "DEMOTE":
		return c.status(verb, rest), ""
	default:
		return "", "MALFORMED"
	}
	return "", ""
}

// read returns the item's data; "0" if it was never written.
func (c *serverConn) read(item string) string {
	data, ok := c.items[item]
	for i := len(c.server.log) - 1; i >= 0 && !ok; i-- {
		data, ok = c.server.log[i].items[item]
	}
	if !ok {
		data = "0"
	}
	return data
}

// write adds a write to the transaction, or commits it if there is none.
func (c *serverConn) write(id, rest string) string {
	if !c.server.primary || c.inTx && c.readOnly {
		return "READONLY"
	}
	item, data, _ := strings.Cut(rest, " ")
	if !c.inTx {
		return c.confirm(c.server.group.append(c.server, []string{id}, map[string]string{item: data}))
	}
	c.items = maps.Clone(c.items)
	c.ids, c.items[item] = append(c.ids, id), data
	return ""
}

// commit ends the transaction. A failed one is rolled back.
func (c *serverConn) commit() string {
	ids, items, failed := c.ids, c.items, c.failed
	c.inTx, c.failed, c.ids, c.items = false, false, nil, nil
	switch {
	case failed:
		return "ABORTED"
	case len(ids) == 0:
		return ""
	}
	return c.confirm(c.server.group.append(c.server, ids, items))
}

// confirm waits until enough replicas have received the commit. The group's mutex must be
// held; it is released while waiting.
func (c *serverConn) confirm(at position) string {
	g := c.server.group
	deadline := time.Now().Add(syncTimeout)
	for !g.received(c.server, at) {
		if time.Now().After(deadline) || !c.server.up {
			return "TIMEOUT"
		}
		g.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		g.mu.Lock()
	}
	return ""
}

// status returns the status row; DEMOTE first makes a primary of a lower term a replica.
func (c *serverConn) status(verb, rest string) string {
	s := c.server
	var term uint64
	if _, err := fmt.Sscan(rest, &term); err == nil && verb == "DEMOTE" && s.primary && s.term < term {
		s.group.stepDown(s)
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s 0 0 0 %d", role, s.term, s.end(), len(s.conns))
}
