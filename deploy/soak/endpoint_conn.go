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

// maxStatementTime bounds the random time that an endpoint takes for a statement.
const maxStatementTime = 6 * time.Millisecond

// endpointConn serves one connection to an endpoint in the platform's line protocol.
type endpointConn struct {
	group         *group
	endpoint      *endpoint
	conn          net.Conn
	sessionValues map[string]string
	prepared      map[string]string

	// user is the name under which the connection was opened.
	user string

	inTx, failed, readOnly bool
	// beganAt is when the current statement, or the BEGIN of its transaction, was received.
	beganAt time.Time
	// waited is how long the current statement waited until the endpoint read it.
	waited time.Duration
	// txStarted is true once a statement with an ID has run in the open transaction.
	txStarted bool
	txIDs     []string
	txData    map[string]string
}

// serveEndpoint accepts and serves connections until the listener is closed.
func serveEndpoint(g *group, e *endpoint, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		g.awaitBacklog(e)
		c := &endpointConn{group: g, endpoint: e, conn: conn}
		c.reset()
		go c.serve()
	}
}

// reset clears the session values and the prepared statements.
func (c *endpointConn) reset() {
	c.sessionValues, c.prepared = make(map[string]string), make(map[string]string)
}

// isDown reports whether the endpoint has crashed.
func (c *endpointConn) isDown() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.endpoint.down
}

// serve answers statements until the connection ends or the endpoint crashes.
func (c *endpointConn) serve() {
	defer c.conn.Close()
	from := &arrivals{Conn: c.conn}
	r := bufio.NewReader(from)
	line, err := r.ReadString('\n')
	c.group.awaitBacklog(c.endpoint)
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" || c.isDown() {
		return
	}
	if f[1] != c.group.name || len(f) > 3 && f[3] != c.endpoint.id {
		_, _ = io.WriteString(c.conn, "ERROR MISROUTED "+c.endpoint.id+"\r\n")
		return
	}
	c.open(f[2])
	defer c.addOpenConns(-1)
	answer := c.readyLine()
	for {
		// The endpoint learns that the other end has closed the connection when it has read
		// all that was sent before.
		_, _ = io.WriteString(c.conn, answer)
		line, err := r.ReadString('\n')
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		id, text, _ := strings.Cut(rest, " ")
		if err != nil || verb != "QUERY" || c.isDown() {
			return
		}
		if strings.HasPrefix(text, "DEMOTE ") {
			c.group.awaitBacklog(c.endpoint)
		}
		c.group.awaitRunning(c.endpoint)
		receivedAt := time.Now()
		c.waited = receivedAt.Sub(from.last)
		time.Sleep(rand.N(maxStatementTime))
		c.group.awaitRunning(c.endpoint)
		if answer = c.execute(id, text, receivedAt); answer == "" {
			return
		}
	}
}

// open records the connection and the name under which it was opened.
func (c *endpointConn) open(user string) {
	c.user = user
	c.addOpenConns(1)
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.group.users[user] = true
}

// addOpenConns adds to the number of the endpoint's open connections.
func (c *endpointConn) addOpenConns(by int) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.endpoint.openConns += by
}

// readyLine renders the READY line, which ends every answer.
func (c *endpointConn) readyLine() string {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.readyLineLocked()
}

// readyLineLocked is readyLine for calling functions that hold the group's mutex. The
// line has the state of the transaction and the end of the log.
func (c *endpointConn) readyLineLocked() string {
	state := "I"
	switch {
	case c.inTx && c.failed:
		state = "E"
	case c.inTx:
		state = "T"
	}
	return fmt.Sprintf("READY %s %s\r\n", state, formatPosition(c.endpoint.logEnd()))
}

// execute runs a statement and renders its complete answer. It returns no answer if the endpoint
// has crashed.
func (c *endpointConn) execute(id, text string, receivedAt time.Time) string {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.endpoint.down {
		return ""
	}
	if !c.inTx {
		c.beganAt = receivedAt
	}
	x := execution{id: id, endpoint: c.endpoint.id, receivedAt: receivedAt, beganAt: c.beganAt, waited: c.waited, stalledAt: c.endpoint.stalledAt, ranSince: c.endpoint.ranSince, logEnd: c.endpoint.logEnd(), user: c.user, who: c.sessionValues["who"], first: !c.inTx || !c.txStarted}
	row, code := c.runStatement(id, text)
	if code == "" && id != "-" {
		c.group.executions = append(c.group.executions, x)
		c.txStarted = c.inTx
	}
	switch {
	case code != "":
		c.failed = c.inTx
		return "ERROR " + code + " " + c.endpoint.id + "\r\n" + c.readyLineLocked()
	case row != "":
		row = "ROW " + row + "\r\n"
	}
	signature := "-"
	if id != "-" {
		signature = c.endpoint.id + "/" + id
	}
	return row + "COMPLETE " + signature + "\r\n" + c.readyLineLocked()
}

// runStatement runs a statement and returns its row, or the code of its error.
func (c *endpointConn) runStatement(id, text string) (row, code string) {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		var want logpos.Position
		at, statement, _ := strings.Cut(rest, " ")
		if _, err := fmt.Sscanf(at, "%d.%d", &want.Term, &want.Offset); err != nil {
			return "", "MALFORMED"
		}
		if !c.endpoint.logEnd().Covers(want) {
			return "", "LAGGING"
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	if c.fails(verb) {
		return "", "FAILED"
	}
	name, args, _ := strings.Cut(rest, " ")
	switch verb {
	case "BEGIN":
		return "", c.begin(rest == "READ")
	case "COMMIT":
		return "", c.commit()
	case "ROLLBACK":
		c.inTx, c.txIDs, c.txData = false, nil, nil
	case "SET":
		c.sessionValues[name] = args
	case "RESET":
		c.reset()
	case "PREPARE":
		c.prepared[name] = args
	case "EXECUTE":
		statement, ok := c.prepared[name]
		if !ok {
			return "", "NOSTMT"
		}
		if strings.HasPrefix(statement, "READ") {
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

// fails reports whether the endpoint fails the request without an effect.
func (c *endpointConn) fails(verb string) bool {
	switch verb {
	case "SET", "RESET", "PREPARE", "READ", "BEGIN":
		return rand.Float64() < c.endpoint.failShare
	}
	return false
}

// begin opens a transaction.
func (c *endpointConn) begin(readOnly bool) (code string) {
	if !readOnly && !c.endpoint.primary {
		return "READONLY"
	}
	c.inTx, c.failed, c.readOnly, c.txStarted = true, false, readOnly, false
	c.txIDs, c.txData = nil, make(map[string]string)
	return ""
}

// commit ends the transaction.
func (c *endpointConn) commit() (code string) {
	ids, data := c.txIDs, c.txData
	c.inTx, c.txIDs, c.txData = false, nil, nil
	if len(ids) == 0 {
		return ""
	}
	if !c.endpoint.primary {
		return "READONLY"
	}
	c.group.commit(c.endpoint, ids, data)
	return ""
}

// read returns the item's data and the session value "who", by which the reader checks
// that the statement ran with its own session values.
func (c *endpointConn) read(item string) string {
	data, ok := c.txData[item]
	for i := len(c.endpoint.log) - 1; i >= 0 && !ok; i-- {
		data, ok = c.endpoint.log[i].data[item]
	}
	if !ok {
		data = "0"
	}
	return data + " " + c.sessionValues["who"]
}

// write adds a write to the open transaction, or commits it if there is none.
func (c *endpointConn) write(id, text string) (code string) {
	if !c.endpoint.primary || c.inTx && c.readOnly {
		return "READONLY"
	}
	item, data, _ := strings.Cut(text, " ")
	if !c.inTx {
		c.group.commit(c.endpoint, []string{id}, map[string]string{item: data})
		return ""
	}
	c.txIDs = append(c.txIDs, id)
	c.txData = maps.Clone(c.txData)
	c.txData[item] = data
	return ""
}

// status returns the status row. For DEMOTE it first demotes a primary of a lower term.
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
	return fmt.Sprintf("%s %d %s 0 0 0 %d", role, e.term, formatPosition(e.logEnd()), e.openConns)
}
