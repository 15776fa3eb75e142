package manifeststore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Retries of idempotent requests.
const (
	maxAttempts    = 3
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// retryRead repeats a failed read. ErrNotFound is a result, not a failure.
func retryRead(ctx context.Context, read func() error) error {
	return retry(ctx, func() (bool, error) {
		err := read()
		return err == nil || errors.Is(err, platform.ErrNotFound), err
	})
}

// retry repeats f until it is done, maxAttempts is reached or ctx ends.
func retry(ctx context.Context, f func() (done bool, err error)) error {
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		done, err := f()
		if done || attempt == maxAttempts || !wait.Sleep(ctx, backoff) {
			return err
		}
		backoff *= 2
	}
}
