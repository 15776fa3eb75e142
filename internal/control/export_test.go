package control

import (
	"context"
	"time"
)

// Pause blocks the control goroutine for the given time.
func Pause(l *Loop, d time.Duration) {
	l.post(context.Background(), func(time.Time) { time.Sleep(d) })
}
