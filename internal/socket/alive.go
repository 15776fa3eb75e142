// Package socket checks the state of open sockets.
package socket

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Alive reports whether an idle connection is still open and has no data to
// read. If the other side has closed a connection, the outcome of the next
// write on it would be unknown.
func Alive(nc net.Conn) bool {
	if _, ok := nc.(syscall.Conn); !ok {
		return true
	}
	_, err := peek(nc)
	return errors.Is(err, syscall.EAGAIN)
}

// HasData reports whether the connection has data that was not read yet. It
// returns false if the other side has closed the connection.
func HasData(nc net.Conn) bool {
	n, err := peek(nc)
	return err == nil && n > 0
}

// peek returns how many bytes, at most one, can be read without blocking. At
// the end of the data it returns 0.
func peek(nc net.Conn) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err == nil {
		err = peekErr
	}
	return n, err
}
