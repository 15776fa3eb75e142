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
	// Sessions run at once.
	Sessions int
	// Readers run beside them and only look up what they never change.
	Readers int
	// Frames are shared between sessions, so that bookings compete; 0 for none.
	Frames int
	// Pause is the longest time between two operations of a session.
	Pause time.Duration
	// Pool and Entries are where the sessions connect.
	Pool     string
	Entries  []string
	Recorder *history.Recorder
	// Keyed adds request keys to bookings.
	Keyed bool
	Seed  uint64

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start starts the sessions.
func (l *Load) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for i := range l.Sessions + l.Readers {
		s := &Session{
			Name:     fmt.Sprintf("s%02d", i),
			Pool:     l.Pool,
			Entries:  l.Entries,
			Recorder: l.Recorder,
			Keyed:    l.Keyed,
		}
		random := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		operate := l.operate
		if i >= l.Sessions {
			operate = lookup
		}
		l.done.Go(func() { l.run(ctx, s, random, operate) })
	}
}

// Stop lets each session finish its operation and returns when all have ended.
func (l *Load) Stop() {
	l.cancel()
	l.done.Wait()
}

func lookup(ctx context.Context, s *Session, _ *rand.Rand) { s.Lookup(ctx) }

func (l *Load) run(ctx context.Context, s *Session, random *rand.Rand, operate func(context.Context, *Session, *rand.Rand)) {
	defer s.Close()
	// Operations are not cancelled by ctx, so that each ends with a result.
	op := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		operate(op, s, random)
		if l.Pause > 0 {
			time.Sleep(rand.N(l.Pause))
		}
	}
}

func (l *Load) operate(ctx context.Context, s *Session, random *rand.Rand) {
	kind := random.IntN(6)
	switch {
	case kind == 0 && l.Frames > 0:
		s.Book(ctx, fmt.Sprintf("frame-%d", random.IntN(l.Frames)))
	case kind == 3 && l.Frames > 0:
		s.Holder(ctx, fmt.Sprintf("frame-%d", random.IntN(l.Frames)))
	case kind <= 2:
		s.Book(ctx, "")
	default:
		s.Lookup(ctx)
	}
}
