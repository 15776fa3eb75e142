// Package peertest provides a TCP proxy that injects network faults.
package peertest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Proxy forwards TCP connections on loopback to a target.
type Proxy struct {
	// Address is where the proxy listens.
	Address string
	target  string

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	blackholed bool
}

// NewProxy returns a running proxy to target. It is closed when the test ends.
func NewProxy(t testing.TB, target string) *Proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{Address: ln.Addr().String(), target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		ln.Close()
		p.CloseConnections()
	})
	go p.accept(ln)
	return p
}

// CloseConnections closes all open connections; new ones are still accepted.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
	clear(p.conns)
}

// Blackhole drops all bytes from now on and keeps the connections open, like a
// host that has become unreachable.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = true
}

// accept accepts connections and forwards them.
func (p *Proxy) accept(ln net.Listener) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			near.Close()
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.forward(near, far)
		go p.forward(far, near)
	}
}

// forward copies bytes in one direction until either side closes.
func (p *Proxy) forward(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		blackholed := p.blackholed
		p.mu.Unlock()
		if n > 0 && !blackholed {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if blackholed {
				_, _ = io.Copy(io.Discard, from)
			}
			return
		}
	}
}
