package soak

import (
	"net"
	"sync"
	"time"
)

// pathFault is what a proxy does to what it carries.
type pathFault int

// Faults of a path. They also hold for connections that are open already.
const (
	pathUp pathFault = iota
	// pathSlow delays what arrives.
	pathSlow
	// pathSilent loses everything in both directions.
	pathSilent
	// pathOneWay loses the answers only.
	pathOneWay
	pathFaults
)

// slowBy is the delay of a slow path, in each direction.
const slowBy = 30 * time.Millisecond

// proxy carries connections to an address over the loopback interface.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	fault pathFault
	open  map[net.Conn]bool
}

// startProxy starts a proxy before the address.
func startProxy(to string) (*proxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, open: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// listen opens a loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// address is where the proxy takes connections.
func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault changes the fault of the path.
func (p *proxy) setFault(f pathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// current returns the fault of the path.
func (p *proxy) current() pathFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset closes the open connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// close stops the proxy.
func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

// accept carries connections until the listener closes.
func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil {
			near.Close()
			continue
		}
		p.mu.Lock()
		p.open[near], p.open[far] = true, true
		p.mu.Unlock()
		go p.carry(far, near, false)
		go p.carry(near, far, true)
	}
}

// carry copies one direction until it ends, and then ends the other one.
func (p *proxy) carry(to, from net.Conn, answers bool) {
	defer func() {
		to.Close()
		from.Close()
		p.mu.Lock()
		delete(p.open, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch f := p.current(); {
		case f == pathSilent || f == pathOneWay && answers:
			// A stream that has lost bytes stays silent.
			lost = true
		case f == pathSlow:
			time.Sleep(slowBy)
		}
		if lost {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
