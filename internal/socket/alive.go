// Package socket looks at the state of open sockets.
package socket

import (
	"net"
	"syscall"
)

// Alive reports whether the idle connection is still open and has nothing to
// read. A connection that the endpoint closed meanwhile would otherwise leave
// the outcome of the next write unknown.
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
