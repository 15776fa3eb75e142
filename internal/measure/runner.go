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
	// answerGrace is how long a caller waits for an answer after its deadline.
	answerGrace = 5 * time.Second
	// replicaEligibleMargin is added to the replicas' lag: a replica could serve a
	// lookup if the session's last booking is older than the sum.
	replicaEligibleMargin = 250 * time.Millisecond

	insertBookingSQL = "/* kind=booking */ INSERT INTO measure_bookings (id, session, seq) VALUES ($1, $2, $3)"
	lookupBookingSQL = "/* kind=lookup */ SELECT coalesce(max(seq), 0) FROM measure_bookings WHERE session = $1"
)

// runner sends the jobs' requests to a system at their due times and collects the
// outcomes.
type runner struct {
	runID      string
	sessions   [][]*session
	roundTrip  time.Duration
	replicaLag time.Duration
	start      time.Time
	noise      Noise

	mu       sync.Mutex
	outcomes []outcome
	// lastWrite is the time of each session's last booking attempt.
	lastWrite map[*session]time.Time
}

func newRunner(runID string, d Deployment, entries []string, sessions int) *runner {
	r := &runner{runID: runID, roundTrip: d.CallerRoundTrip, lastWrite: map[*session]time.Time{}}
	for i, pool := range d.Pools {
		list := make([]*session, sessions)
		for j := range list {
			name := fmt.Sprintf("%s-%d-%d", runID, i, j)
			list[j] = newSession(name, pool, entries, i*sessions+j)
		}
		r.sessions = append(r.sessions, list)
	}
	return r
}

// runJobs starts each job when it is due, without waiting for earlier answers, and
// returns when all have ended.
func (r *runner) runJobs(ctx context.Context, jobs []Job) {
	r.start = time.Now()
	var wg sync.WaitGroup
	for _, j := range jobs {
		if wait := time.Until(r.start.Add(j.At)); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { r.runJob(ctx, j) })
	}
	wg.Wait()
}

func (r *runner) runJob(ctx context.Context, j Job) {
	due := r.start.Add(j.At)
	ctx, cancel := context.WithDeadline(ctx, due.Add(j.deadline()+answerGrace))
	defer cancel()
	time.Sleep(r.roundTrip / 2)
	o := outcome{job: j}
	s := r.sessions[j.Pool][j.Session]
	if s.acquire(ctx, due.Add(j.deadline())) {
		r.sendRequest(ctx, s, &o)
		s.release()
	} else {
		o.result, o.reason = history.NotRun, reasonCallerBusy
	}
	time.Sleep(r.roundTrip / 2)
	o.latency = time.Since(due)
	o.answeredAt = time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *runner) sendRequest(ctx context.Context, s *session, o *outcome) {
	if o.job.Move {
		s.switchEntry()
	}
	if err := s.connect(ctx); err != nil {
		o.result, o.reason = history.NotRun, reasonConnect
		o.message = messageOf(err)
		if reason := workload.ReasonOf(err); reason != "" {
			o.reason = reason
		}
		return
	}
	if err := r.runStatement(ctx, s, o); err != nil {
		o.result, o.reason = workload.ResultOf(err), reasonOf(err)
		o.message = messageOf(err)
		return
	}
	o.result = history.OK
	if o.job.Kind == kindBooking {
		s.confirmed = o.job.Sequence
	}
}

// runStatement sends the job's statement and all its protocol messages in one
// batch, so that the request is either refused or run as a whole.
func (r *runner) runStatement(ctx context.Context, s *session, o *outcome) error {
	switch j := o.job; j.Kind {
	case kindBooking:
		r.recordWrite(s)
		_, err := s.conn.Exec(ctx, insertBookingSQL, pgx.QueryExecModeExec, j.bookingID(r.runID), s.name, j.Sequence)
		return err
	case kindLookup:
		o.replicaEligible = r.isReplicaEligible(s)
		var seen int
		err := s.conn.QueryRow(ctx, lookupBookingSQL, pgx.QueryExecModeExec, s.name).Scan(&seen)
		o.stale = err == nil && seen < s.confirmed
		return err
	default:
		sql := fmt.Sprintf("/* kind=%s */ SELECT platform_work($1)", j.Kind)
		var ms int64
		return s.conn.QueryRow(ctx, sql, pgx.QueryExecModeExec, longServiceTime.Milliseconds()).Scan(&ms)
	}
}

func (r *runner) recordWrite(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastWrite[s] = time.Now()
}

// isReplicaEligible reports whether replicas should have applied the session's last
// booking.
func (r *runner) isReplicaEligible(s *session) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastWrite[s]) > r.replicaLag+replicaEligibleMargin
}

// connectAll opens the connections of all sessions before the run, a limited number
// at a time.
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
	var firstErr error
	for range cap(errs) {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func (r *runner) close() {
	for _, list := range r.sessions {
		for _, s := range list {
			s.close()
		}
	}
}
