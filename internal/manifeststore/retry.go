package manifeststore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Retries of requests that can be repeated without harm.
const (
	attempts     = 3
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// retryRead repeats a read that failed. "Not found" is an answer, not a failure.
func retryRead(ctx context.Context, read func() error) error {
	return retry(ctx, func() (bool, error) {
		err := read()
		return err == nil || errors.Is(err, platform.ErrNotFound), err
	})
}

// retry repeats f until it is final, attempts are used up or ctx ends.
func retry(ctx context.Context, f func() (final bool, err error)) error {
	backoff := firstBackoff
	for n := 1; ; n++ {
		final, err := f()
		if final || n == attempts || !wait.Sleep(ctx, backoff) {
			return err
		}
		backoff *= 2
	}
}
