package soak

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// longestRun bounds the time of one statement at an endpoint.
const longestRun = 6 * time.Millisecond

// endpointConn is a connection to an endpoint in the platform's line protocol.
type endpointConn struct {
	group    *group
	endpoint *endpoint
	conn     net.Conn
	values   map[string]string
	prepared map[string]string

	inTx, failed, readOnly bool
	ids                    []string
	data                   map[string]string
}

// serveEndpoint serves connections until the listener closes.
func serveEndpoint(g *group, e *endpoint, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		c := &endpointConn{group: g, endpoint: e, conn: conn}
		c.reset()
		go c.serve()
	}
}

// reset forgets session state.
func (c *endpointConn) reset() {
	c.values, c.prepared = make(map[string]string), make(map[string]string)
}

// isDown reports whether the endpoint has crashed.
func (c *endpointConn) isDown() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.endpoint.down
}

// serve answers messages until the connection ends or the endpoint crashes.
func (c *endpointConn) serve() {
	defer c.conn.Close()
	r := bufio.NewReader(c.conn)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" || c.isDown() {
		return
	}
	if f[1] != c.group.name || len(f) > 3 && f[3] != c.endpoint.id {
		_, _ = io.WriteString(c.conn, "ERROR MISROUTED "+c.endpoint.id+"\r\n")
		return
	}
	c.count(1)
	defer c.count(-1)
	answer := c.ready()
	for {
		if _, err := io.WriteString(c.conn, answer); err != nil {
			return
		}
		line, err := r.ReadString('\n')
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		id, text, _ := strings.Cut(rest, " ")
		if err != nil || verb != "QUERY" || c.isDown() {
			return
		}
		time.Sleep(rand.N(longestRun))
		answer = c.answer(id, text)
		if c.isDown() {
			return
		}
	}
}

// count changes the number of open connections.
func (c *endpointConn) count(by int) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.endpoint.open += by
}

// ready renders the end of an answer.
func (c *endpointConn) ready() string {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.state()
}

// state renders the transaction's state with the end of the log. The mutex must be held.
func (c *endpointConn) state() string {
	state := "I"
	switch {
	case c.inTx && c.failed:
		state = "E"
	case c.inTx:
		state = "T"
	}
	return fmt.Sprintf("READY %s %s\r\n", state, onWire(c.endpoint.end()))
}

// answer runs a statement and renders its whole answer.
func (c *endpointConn) answer(id, text string) string {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	row, code := c.run(id, text)
	switch {
	case code != "":
		c.failed = c.inTx
		return "ERROR " + code + " " + c.endpoint.id + "\r\n" + c.state()
	case row != "":
		row = "ROW " + row + "\r\n"
	}
	signature := "-"
	if id != "-" {
		signature = c.endpoint.id + "/" + id
	}
	return row + "COMPLETE " + signature + "\r\n" + c.state()
}

// run runs a statement and returns its row, or why it did not run.
func (c *endpointConn) run(id, text string) (row, code string) {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		var want logpos.Position
		at, statement, _ := strings.Cut(rest, " ")
		if _, err := fmt.Sscanf(at, "%d.%d", &want.Term, &want.Offset); err != nil {
			return "", "MALFORMED"
		}
		if !c.endpoint.end().Covers(want) {
			return "", "LAGGING"
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	name, args, _ := strings.Cut(rest, " ")
	switch verb {
	case "BEGIN":
		return "", c.begin(rest == "READ")
	case "COMMIT":
		return "", c.commit()
	case "ROLLBACK":
		c.inTx, c.ids, c.data = false, nil, nil
	case "SET":
		c.values[name] = args
	case "RESET":
		c.reset()
	case "PREPARE":
		c.prepared[name] = args
	case "EXECUTE":
		shape, ok := c.prepared[name]
		if !ok {
			return "", "NOSTMT"
		}
		if strings.HasPrefix(shape, "READ") {
			return c.read(args), ""
		}
		return "", c.write(id, args)
	case "READ":
		return c.read(rest), ""
	case "WRITE":
		return "", c.write(id, rest)
	case "STATUS", "DEMOTE":
		return c.status(verb, rest), ""
	}
	return "", ""
}

// begin opens a transaction.
func (c *endpointConn) begin(readOnly bool) (code string) {
	if !readOnly && !c.endpoint.primary {
		return "READONLY"
	}
	c.inTx, c.failed, c.readOnly, c.ids, c.data = true, false, readOnly, nil, make(map[string]string)
	return ""
}

// commit ends the transaction.
func (c *endpointConn) commit() (code string) {
	ids, data := c.ids, c.data
	c.inTx, c.ids, c.data = false, nil, nil
	if len(ids) == 0 {
		return ""
	}
	if !c.endpoint.primary {
		return "READONLY"
	}
	c.group.commit(c.endpoint, ids, data)
	return ""
}

// read returns an item's data with the session value that the statement ran under.
func (c *endpointConn) read(item string) string {
	data, ok := c.data[item]
	for i := len(c.endpoint.log) - 1; i >= 0 && !ok; i-- {
		data, ok = c.endpoint.log[i].data[item]
	}
	if !ok {
		data = "0"
	}
	return data + " " + c.values["who"]
}

// write notes or commits a write.
func (c *endpointConn) write(id, text string) (code string) {
	if !c.endpoint.primary || c.inTx && c.readOnly {
		return "READONLY"
	}
	item, data, _ := strings.Cut(text, " ")
	if !c.inTx {
		c.group.commit(c.endpoint, []string{id}, map[string]string{item: data})
		return ""
	}
	c.ids = append(c.ids, id)
	c.data = maps.Clone(c.data)
	c.data[item] = data
	return ""
}

// status returns the status row, after a demotion if one is asked for.
func (c *endpointConn) status(verb, rest string) string {
	e := c.endpoint
	var term uint64
	if _, err := fmt.Sscan(rest, &term); err == nil && verb == "DEMOTE" && e.term < term {
		e.primary = false
	}
	role := "replica"
	if e.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s 0 0 0 %d", role, e.term, onWire(e.end()), e.open)
}
