package entry

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptRetryDelay is the delay before the next Accept after a temporary error, for
// example when the process has no file descriptors left.
const acceptRetryDelay = 50 * time.Millisecond

// callerKeepAlive is the TCP keepalive of callers' connections. A caller whose host has
// disappeared is detected within about 45 s.
var callerKeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     15 * time.Second,
	Interval: 10 * time.Second,
	Count:    3,
}

// isTemporary reports whether Accept may succeed later after this error.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
