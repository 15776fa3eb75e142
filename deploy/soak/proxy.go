package soak

import (
	"net"
	"sync"
	"time"
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

// slowPathDelay is the delay of a slow path, in each direction.
const slowPathDelay = 30 * time.Millisecond

// proxy forwards connections to a target address and injects network faults.
type proxy struct {
	listener net.Listener
	target   string
	// part is the name of the host or endpoint at the target. source returns the name of the
	// host that opened a connection.
	part   string
	paths  *paths
	source func(net.Conn) string

	mu    sync.Mutex
	fault pathFault
	conns map[net.Conn]bool
}

// startProxy starts a proxy that forwards to the part at the target address.
func (r *runner) startProxy(part, target string) (*proxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, part: part, paths: &r.paths, source: r.source, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// listen listens on a free port of the loopback interface.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// address returns the address that the proxy listens on.
func (p *proxy) address() string { return p.listener.Addr().String() }

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
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

// accept forwards connections until the listener is closed.
func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

// connect connects a client to the target and forwards both directions.
func (p *proxy) connect(client net.Conn) {
	from := p.source(client)
	p.paths.await(from, p.part)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.forward(server, client, [2]string{from, p.part}, false)
	go p.forward(client, server, [2]string{p.part, from}, true)
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
		p.paths.await(path[0], path[1])
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
