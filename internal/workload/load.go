package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/history"
)

// Load runs concurrent sessions until it is stopped.
type Load struct {
	// Sessions is the number of concurrent sessions that book and look up.
	Sessions int
	// Readers is the number of further concurrent sessions that only look up.
	Readers int
	// Frames is the number of frames for which all sessions compete; 0 for none.
	Frames int
	// MaxPause bounds the random time between two operations of a session.
	MaxPause time.Duration
	// Pool and Entries are the pool and the host addresses that the sessions connect
	// to.
	Pool     string
	Entries  []string
	Recorder *history.Recorder
	// RequestKeys makes bookings carry request keys; see Session.
	RequestKeys bool
	Seed        uint64

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start starts the sessions.
func (l *Load) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for i := range l.Sessions + l.Readers {
		s := &Session{
			Name:        fmt.Sprintf("s%02d", i),
			Pool:        l.Pool,
			Entries:     l.Entries,
			Recorder:    l.Recorder,
			RequestKeys: l.RequestKeys,
		}
		random := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		operate := l.runOperation
		if i >= l.Sessions {
			operate = runLookup
		}
		l.wg.Go(func() { l.runSession(ctx, s, random, operate) })
	}
}

// Stop waits until each session has finished its current operation, and ends them.
func (l *Load) Stop() {
	l.cancel()
	l.wg.Wait()
}

func runLookup(ctx context.Context, s *Session, _ *rand.Rand) { s.Lookup(ctx) }

func (l *Load) runSession(ctx context.Context, s *Session, random *rand.Rand, operate func(context.Context, *Session, *rand.Rand)) {
	defer s.Close()
	// Operations are not cancelled with ctx, so that each one ends with a result.
	op := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		operate(op, s, random)
		if l.MaxPause > 0 {
			time.Sleep(rand.N(l.MaxPause))
		}
	}
}

func (l *Load) runOperation(ctx context.Context, s *Session, random *rand.Rand) {
	kind := random.IntN(6)
	switch {
	case kind == 0 && l.Frames > 0:
		s.Book(ctx, fmt.Sprintf("frame-%d", random.IntN(l.Frames)))
	case kind == 3 && l.Frames > 0:
		s.ReadHolder(ctx, fmt.Sprintf("frame-%d", random.IntN(l.Frames)))
	case kind <= 2:
		s.Book(ctx, "")
	default:
		s.Lookup(ctx)
	}
}
