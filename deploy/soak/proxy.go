package soak

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/permission"
)

// pathFault is a network fault between hosts and an endpoint.
type pathFault int

// Faults of a path. They also apply to connections that are already open.
const (
	pathHealthy pathFault = iota
	// pathSlow delays data in both directions.
	pathSlow
	// pathDropsAll drops the data of both directions.
	pathDropsAll
	// pathDropsAnswers drops the data from the endpoint only.
	pathDropsAnswers
	pathFaultCount
)

const (
	// slowPathDelay is the delay of a slow path, in each direction.
	slowPathDelay = 30 * time.Millisecond
	// hostUserTimeout is the TCP_USER_TIMEOUT of the hosts' connections to endpoints.
	hostUserTimeout = permission.Duration
)

// errUnacknowledged means that a cut has held bytes for longer than the sender waits for their
// acknowledgement.
var errUnacknowledged = errors.New("held bytes were not acknowledged in time")

// errLostInCut means that bytes were on their way when the path was cut.
var errLostInCut = errors.New("the bytes were on their way when the path was cut")

// proxy forwards connections to a target address and injects network faults.
type proxy struct {
	// address is the address that the proxy listens on.
	address string
	paths   *paths
	// source returns the name of the host that opened a connection.
	source func(net.Conn) string
	// userTimeout is the TCP_USER_TIMEOUT of the connections' clients; 0 if they have none.
	userTimeout time.Duration

	mu sync.Mutex
	// listener is replaced when the proxy accepts connections again after it has refused them.
	listener net.Listener
	// refusing is true from refuse to admit.
	refusing bool
	// part is the name of the host or endpoint at the target.
	target, part string
	fault        pathFault
	conns        map[net.Conn]bool
}

// retarget makes the proxy carry new connections to another part.
func (p *proxy) retarget(part, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.part, p.target = part, target
}

// destination returns the part at the target and its address.
func (p *proxy) destination() (part, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.part, p.target
}

// startProxy starts a proxy that forwards to the part at the target address.
func (r *runner) startProxy(part, target string, userTimeout time.Duration) (*proxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, address: l.Addr().String(), target: target, part: part, paths: &r.paths, source: r.source, userTimeout: userTimeout, conns: make(map[net.Conn]bool)}
	go p.accept(l)
	return p, nil
}

// refuse makes the proxy refuse connections and resets the open ones, as a network partition that
// rejects packets does, until admit.
func (p *proxy) refuse() {
	p.mu.Lock()
	p.refusing = true
	p.mu.Unlock()
	p.close()
}

// admit ends refuse: the proxy accepts connections again, at the same address.
func (p *proxy) admit() error {
	p.mu.Lock()
	refusing := p.refusing
	p.mu.Unlock()
	if !refusing {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.refusing = l, false
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

// listen listens on a free port of the loopback interface.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// setFault sets the fault of the path.
func (p *proxy) setFault(f pathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// currentFault returns the fault of the path.
func (p *proxy) currentFault() pathFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset closes the open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		abort(conn)
	}
}

// abort closes a connection with a TCP reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.listener.Close()
	p.mu.Unlock()
	p.reset()
}

// accept forwards connections until the listener is closed.
func (p *proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

// connect connects a client to the target and forwards both directions.
func (p *proxy) connect(client net.Conn) {
	from := p.source(client)
	part, target := p.destination()
	if p.paths.rejects(from, part) {
		abort(client)
		return
	}
	p.paths.await(from, part)
	server, err := net.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.forward(server, client, [2]string{from, part}, false)
	go p.forward(client, server, [2]string{part, from}, true)
}

// forward copies one direction until it ends, and then closes both connections. path names
// the parts at its ends.
func (p *proxy) forward(to, from net.Conn, path [2]string, answers bool) {
	defer func() {
		to.Close()
		from.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.paths.rejects(path[0], path[1]) {
			return
		}
		switch f := p.currentFault(); {
		case f == pathDropsAll || f == pathDropsAnswers && answers:
			// After a gap, the rest of the stream would be garbage, so it is dropped
			// as well.
			dropping = true
		case f == pathSlow:
			time.Sleep(slowPathDelay)
		}
		if dropping {
			continue
		}
		data, err := p.hold(from, path, buffer[:n], answers)
		if err != nil {
			return
		}
		if _, err := to.Write(data); err != nil {
			return
		}
	}
}

// hold keeps data while the path is cut, as the sender's kernel does, and returns it with what
// followed. After an orderly close the data is still returned once the path is restored. An
// error means that it is lost: the sender has reset the connection, or has waited for an
// acknowledgement for longer than its user timeout.
func (p *proxy) hold(from net.Conn, path [2]string, data []byte, answers bool) ([]byte, error) {
	if !p.paths.isCut(path[0], path[1]) {
		return data, nil
	}
	if p.paths.keepsBytes && p.paths.justCut(path[0], path[1]) {
		// No host can know of the cut yet.
		return nil, errLostInCut
	}
	began, closed, more := time.Now(), false, make([]byte, 4<<10)
	for p.paths.isCut(path[0], path[1]) {
		if !answers && !p.paths.keepsBytes && p.userTimeout > 0 && time.Since(began) > p.userTimeout {
			return nil, errUnacknowledged
		}
		if closed {
			time.Sleep(pathPollInterval)
			continue
		}
		if err := from.SetReadDeadline(time.Now().Add(pathPollInterval)); err != nil {
			return nil, err
		}
		n, err := from.Read(more)
		data = append(data, more[:n]...)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		closed = errors.Is(err, io.EOF) || p.paths.keepsBytes && err != nil && !timedOut
		if err != nil && !closed && !timedOut {
			return nil, err
		}
	}
	return data, from.SetReadDeadline(time.Time{})
}
