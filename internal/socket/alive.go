// Package socket checks the state of open sockets.
package socket

import (
	"net"
	"syscall"
)

// Alive reports whether an idle connection is still open and has no data to
// read. If the other side has closed a connection, the outcome of the next
// write on it would be unknown.
func Alive(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN
	})
	return err == nil && open
}
