package entry

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptPause is the time before Accept is tried again when the process has no
// file descriptors left.
const acceptPause = 50 * time.Millisecond

// Keepalive of callers' connections: a vanished host is found within about 45 s.
var callerKeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     15 * time.Second,
	Interval: 10 * time.Second,
	Count:    3,
}

// isTemporary reports whether Accept may succeed later.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
