package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

const (
	// patience is how long past its deadline a caller still waits for an answer.
	patience = 5 * time.Second
	// settleTime is the age of a session's last booking from which a lookup counts
	// as eligible for a replica, in addition to the replicas' lag.
	settleTime = 250 * time.Millisecond

	insertBooking = "/* kind=booking */ INSERT INTO measure_bookings (id, session, seq) VALUES ($1, $2, $3)"
	lookupBooking = "/* kind=lookup */ SELECT coalesce(max(seq), 0) FROM measure_bookings WHERE session = $1"
)

// runner offers jobs to a system at their due times.
type runner struct {
	run       string
	sessions  [][]*session
	roundTrip time.Duration
	lag       time.Duration
	start     time.Time
	noise     Noise

	mu       sync.Mutex
	outcomes []outcome
	// lastWrite is the time of each session's last booking attempt.
	lastWrite map[*session]time.Time
}

func newRunner(run string, d Deployment, entries []string, sessions int) *runner {
	r := &runner{run: run, roundTrip: d.CallerRoundTrip, lastWrite: map[*session]time.Time{}}
	for i, pool := range d.Pools {
		list := make([]*session, sessions)
		for j := range list {
			name := fmt.Sprintf("%s-%d-%d", run, i, j)
			list[j] = newSession(name, pool, entries, i*sessions+j)
		}
		r.sessions = append(r.sessions, list)
	}
	return r
}

// offer sends each job when it is due, without waiting for earlier answers.
func (r *runner) offer(ctx context.Context, jobs []Job) {
	r.start = time.Now()
	var wg sync.WaitGroup
	for _, j := range jobs {
		if wait := time.Until(r.start.Add(j.At)); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { r.do(ctx, j) })
	}
	wg.Wait()
}

func (r *runner) do(ctx context.Context, j Job) {
	due := r.start.Add(j.At)
	ctx, cancel := context.WithDeadline(ctx, due.Add(j.deadline()+patience))
	defer cancel()
	time.Sleep(r.roundTrip / 2)
	o := outcome{job: j}
	s := r.sessions[j.Pool][j.Session]
	if s.acquire(ctx, due.Add(j.deadline())) {
		r.request(ctx, s, &o)
		s.release()
	} else {
		o.result, o.reason = history.NotRun, reasonCallerBusy
	}
	time.Sleep(r.roundTrip / 2)
	o.latency = time.Since(due)
	o.finished = time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *runner) request(ctx context.Context, s *session, o *outcome) {
	if o.job.Move {
		s.move()
	}
	if err := s.connect(ctx); err != nil {
		o.result, o.reason = history.NotRun, reasonConnect
		o.message = messageOf(err)
		if reason := workload.ReasonOf(err); reason != "" {
			o.reason = reason
		}
		return
	}
	if err := r.statement(ctx, s, o); err != nil {
		o.result, o.reason = workload.ResultOf(err), reasonOf(err)
		o.message = messageOf(err)
		return
	}
	o.result = history.OK
	if o.job.Kind == kindBooking {
		s.confirmed = o.job.Sequence
	}
}

// statement sends one batch in each case, so that a request is either refused or
// run as a whole.
func (r *runner) statement(ctx context.Context, s *session, o *outcome) error {
	switch j := o.job; j.Kind {
	case kindBooking:
		r.wrote(s)
		_, err := s.conn.Exec(ctx, insertBooking, pgx.QueryExecModeExec, j.id(r.run), s.name, j.Sequence)
		return err
	case kindLookup:
		o.settled = r.settled(s)
		var seen int
		err := s.conn.QueryRow(ctx, lookupBooking, pgx.QueryExecModeExec, s.name).Scan(&seen)
		o.stale = err == nil && seen < s.confirmed
		return err
	default:
		sql := fmt.Sprintf("/* kind=%s */ SELECT platform_work($1)", j.Kind)
		var ms int64
		return s.conn.QueryRow(ctx, sql, pgx.QueryExecModeExec, longWork.Milliseconds()).Scan(&ms)
	}
}

func (r *runner) wrote(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastWrite[s] = time.Now()
}

// settled reports whether replicas should have the session's last booking.
func (r *runner) settled(s *session) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastWrite[s]) > r.lag+settleTime
}

// connectAll opens the sessions' connections before the run, a few at a time.
func (r *runner) connectAll(ctx context.Context) error {
	const atOnce = 32
	limit := make(chan struct{}, atOnce)
	errs := make(chan error, len(r.sessions)*len(r.sessions[0]))
	for _, list := range r.sessions {
		for _, s := range list {
			limit <- struct{}{}
			go func() {
				errs <- s.connect(ctx)
				<-limit
			}()
		}
	}
	var first error
	for range cap(errs) {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (r *runner) close() {
	for _, list := range r.sessions {
		for _, s := range list {
			s.close()
		}
	}
}
