package control

import (
	"context"
	"time"
)

// Pause stops the control goroutine for the given time.
func Pause(l *Loop, d time.Duration) {
	l.post(context.Background(), func(time.Time) { time.Sleep(d) })
}
