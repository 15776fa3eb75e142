// Package peertest holds a TCP link for tests that can be cut or silenced.
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

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	silent bool
}

// NewProxy returns a running proxy to target; it ends with the test.
func NewProxy(t testing.TB, target string) *Proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Proxy{Address: ln.Addr().String(), target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		ln.Close()
		l.CloseConnections()
	})
	go l.accept(ln)
	return l
}

// CloseConnections closes all connections; new ones are accepted.
func (l *Proxy) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
	clear(l.conns)
}

// Blackhole drops all bytes from now on and keeps the connections open, as a host
// does that has vanished.
func (l *Proxy) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

// accept forwards each connection.
func (l *Proxy) accept(ln net.Listener) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			near.Close()
			continue
		}
		l.mu.Lock()
		l.conns[near], l.conns[far] = struct{}{}, struct{}{}
		l.mu.Unlock()
		go l.forward(near, far)
		go l.forward(far, near)
	}
}

// forward copies bytes one way until either side ends.
func (l *Proxy) forward(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if silent {
				_, _ = io.Copy(io.Discard, from)
			}
			return
		}
	}
}
