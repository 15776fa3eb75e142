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
	createBookings = "CREATE TABLE IF NOT EXISTS measure_bookings (id TEXT, session TEXT, seq INTEGER)"
	createIndex    = "CREATE INDEX IF NOT EXISTS measure_by_session ON measure_bookings (session, seq)"
	checkTimeout   = 30 * time.Second
	checkRetry     = 100 * time.Millisecond
	// maxViolations bounds the descriptions in a report.
	maxViolations = 20
)

// Check compares what callers were told with what is stored.
type Check struct {
	Confirmed int `json:"confirmed"`
	// Lost are confirmed bookings that are not stored.
	Lost int `json:"lost"`
	// Doubled are bookings that are stored more than once.
	Doubled int `json:"doubled"`
	// RanAlthoughRefused are stored bookings that were reported as not run.
	RanAlthoughRefused int `json:"ran_although_refused"`
	// Unknown are bookings whose outcome the caller was told to be unknown.
	Unknown int `json:"unknown"`
	// Violations describes the first violations.
	Violations []string `json:"violations,omitempty"`
	// StaleLookups missed a booking that was confirmed to their session.
	StaleLookups int `json:"stale_lookups"`
}

// OK reports whether all guarantees held.
func (c Check) OK() bool {
	return c.Lost == 0 && c.Doubled == 0 && c.RanAlthoughRefused == 0 && c.StaleLookups == 0
}

// createTables prepares each pool. The table has no unique key, so that a
// booking that is made twice is stored twice.
func createTables(ctx context.Context, sys System, pools []string) error {
	for _, pool := range pools {
		for _, sql := range []string{createBookings, createIndex} {
			if err := onPool(ctx, sys, pool, func(conn *pgx.Conn) error {
				_, err := conn.Exec(ctx, sql)
				return err
			}); err != nil {
				return errors.Wrapf(err, "pool %s", pool)
			}
		}
	}
	return nil
}

// onPool repeats work on changing entries until it succeeds.
func onPool(ctx context.Context, sys System, pool string, work func(*pgx.Conn) error) error {
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
		time.Sleep(checkRetry)
	}
	return err
}

// check reads the bookings of all pools from their primaries.
func (r *runner) check(ctx context.Context, sys System, pools []string) (Check, error) {
	stored := map[string]int{}
	for _, pool := range pools {
		if err := onPool(ctx, sys, pool, func(conn *pgx.Conn) error {
			return r.readStored(ctx, conn, stored)
		}); err != nil {
			return Check{}, errors.Wrapf(err, "read bookings of pool %s", pool)
		}
	}
	var c Check
	for _, o := range r.outcomes {
		c.add(o, stored[o.job.id(r.run)])
	}
	return c, nil
}

func (r *runner) readStored(ctx context.Context, conn *pgx.Conn, stored map[string]int) error {
	rows, err := conn.Query(ctx, "SELECT id, count(*) FROM measure_bookings WHERE id LIKE $1 GROUP BY id", r.run+"-%")
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

func (c *Check) describe(what string, o outcome, stored int) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, fmt.Sprintf("%s: %s due at %v, answered after %v, stored %d times; %s",
			what, o.job.Kind, o.job.At, o.latency, stored, o.message))
	}
}

func (c *Check) add(o outcome, stored int) {
	if o.stale {
		c.StaleLookups++
		c.describe("stale lookup", o, stored)
	}
	if o.job.Kind != kindBooking {
		return
	}
	if stored > 1 {
		c.Doubled++
		c.describe("doubled", o, stored)
	}
	switch o.result {
	case history.OK:
		c.Confirmed++
		if stored == 0 {
			c.Lost++
			c.describe("lost", o, stored)
		}
	case history.NotRun:
		if stored > 0 {
			c.RanAlthoughRefused++
			c.describe("ran although refused", o, stored)
		}
	default:
		c.Unknown++
	}
}
