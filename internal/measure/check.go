package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

const (
	createBookingsSQL = "CREATE TABLE IF NOT EXISTS measure_bookings (id TEXT, session TEXT, seq INTEGER)"
	createIndexSQL    = "CREATE INDEX IF NOT EXISTS measure_by_session ON measure_bookings (session, seq)"
	checkTimeout      = 30 * time.Second
	checkRetryDelay   = 100 * time.Millisecond
	// maxViolations is the largest number of violations that a report describes.
	maxViolations = 20
)

// Check is the result of comparing the answers that callers got with the stored
// bookings.
type Check struct {
	Confirmed int `json:"confirmed"`
	// Lost counts confirmed bookings that are not stored.
	Lost int `json:"lost"`
	// Doubled counts bookings that are stored more than once.
	Doubled int `json:"doubled"`
	// RanAlthoughRefused counts bookings that are stored although they were reported
	// as not run.
	RanAlthoughRefused int `json:"ran_although_refused"`
	// Unknown counts bookings whose outcome was reported as unknown.
	Unknown int `json:"unknown"`
	// Violations describes the first violations, at most maxViolations.
	Violations []string `json:"violations,omitempty"`
	// StaleLookups counts lookups that missed a confirmed booking of their session.
	StaleLookups int `json:"stale_lookups"`
}

// OK reports whether all guarantees held.
func (c Check) OK() bool {
	return c.Lost == 0 && c.Doubled == 0 && c.RanAlthoughRefused == 0 && c.StaleLookups == 0
}

// createTables creates the bookings table in each pool. The table has no unique key,
// so that a booking that runs twice is stored twice.
func createTables(ctx context.Context, sys System, pools []string) error {
	for _, pool := range pools {
		for _, sql := range []string{createBookingsSQL, createIndexSQL} {
			if err := retryOnPool(ctx, sys, pool, func(conn *pgx.Conn) error {
				_, err := conn.Exec(ctx, sql)
				return err
			}); err != nil {
				return errors.Wrapf(err, "create tables in pool %s", pool)
			}
		}
	}
	return nil
}

// retryOnPool runs work through one host after the other until it succeeds.
func retryOnPool(ctx context.Context, sys System, pool string, work func(*pgx.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	entries := sys.Entries()
	var err error
	for i := 0; ctx.Err() == nil; i++ {
		var conn *pgx.Conn
		if conn, err = workload.Connect(ctx, entries[i%len(entries)], pool, "measure-check"); err == nil {
			err = work(conn)
			_ = conn.Close(context.Background())
		}
		if err == nil {
			return nil
		}
		time.Sleep(checkRetryDelay)
	}
	return err
}

// check reads the stored bookings of all pools from the primaries and compares them with
// the outcomes.
func (r *runner) check(ctx context.Context, sys System, pools []string) (Check, error) {
	stored := map[string]int{}
	for _, pool := range pools {
		if err := retryOnPool(ctx, sys, pool, func(conn *pgx.Conn) error {
			return r.readStored(ctx, conn, stored)
		}); err != nil {
			return Check{}, errors.Wrapf(err, "read bookings of pool %s", pool)
		}
	}
	var c Check
	for _, o := range r.outcomes {
		c.addOutcome(o, stored[o.job.bookingID(r.runID)])
	}
	return c, nil
}

func (r *runner) readStored(ctx context.Context, conn *pgx.Conn, stored map[string]int) error {
	rows, err := conn.Query(ctx, "SELECT id, count(*) FROM measure_bookings WHERE id LIKE $1 GROUP BY id", r.runID+"-%")
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		var id string
		var n int
		if err := rows.Scan(&id, &n); err != nil {
			return err
		}
		stored[id] = n
	}
	return rows.Err()
}

func (c *Check) addViolation(kind string, o outcome, stored int) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, fmt.Sprintf("%s: %s due at %v, answered after %v, stored %d times; %s",
			kind, o.job.Kind, o.job.At, o.latency, stored, o.message))
	}
}

func (c *Check) addOutcome(o outcome, stored int) {
	if o.stale {
		c.StaleLookups++
		c.addViolation("stale lookup", o, stored)
	}
	if o.job.Kind != kindBooking {
		return
	}
	if stored > 1 {
		c.Doubled++
		c.addViolation("doubled", o, stored)
	}
	switch o.result {
	case history.OK:
		c.Confirmed++
		if stored == 0 {
			c.Lost++
			c.addViolation("lost", o, stored)
		}
	case history.NotRun:
		if stored > 0 {
			c.RanAlthoughRefused++
			c.addViolation("ran although refused", o, stored)
		}
	default:
		c.Unknown++
	}
}
