// Package peertest holds a TCP link for tests that can be cut or silenced.
package peertest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Link forwards TCP connections on loopback to a target.
type Link struct {
	// Address is where the link listens.
	Address string
	target  string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	silent bool
}

// NewLink returns a running link to target; it ends with the test.
func NewLink(t testing.TB, target string) *Link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Link{Address: ln.Addr().String(), target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		ln.Close()
		l.Cut()
	})
	go l.accept(ln)
	return l
}

// Cut closes all connections; new ones are accepted.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
	clear(l.conns)
}

// Silence drops all bytes from now on and keeps the connections open, as a host
// does that has vanished.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

// accept forwards each connection.
func (l *Link) accept(ln net.Listener) {
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
func (l *Link) forward(to, from net.Conn) {
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
