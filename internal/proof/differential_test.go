package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

const (
	// ledgers are the concurrent callers of the differential test.
	ledgers = 8
	// entriesPerLedger is the number of inputs of each caller.
	entriesPerLedger = 120
	// accounts are shared by all callers, so that a lost or doubled addition
	// shows in their sums.
	accounts = 5
	// inputTimeout bounds one input with all its repeats.
	inputTimeout = 40 * time.Second
)

// ledger carries out the inputs of one caller in order, each until it is
// confirmed. Each input has a request key, so that repeats are harmless.
type ledger struct {
	r       *run
	id      int
	entries []string
	// random gives the inputs. Entries are taken in turn, since the number of
	// repeats differs between runs.
	random *rand.Rand
	next   int
	// repeats counts the inputs sent again after an unknown outcome.
	repeats int
	// sums is what the ledger read of its own account after each own addition.
	sums []int64
}

func (l *ledger) run(ctx context.Context) error {
	for n := range entriesPerLedger {
		amount, account := 1+l.random.IntN(9), l.random.IntN(accounts)
		if err := l.add(ctx, n, account, amount); err != nil {
			return err
		}
		if err := l.add(ctx, n+entriesPerLedger, accounts+l.id, amount); err != nil {
			return err
		}
		if err := l.readOwn(ctx); err != nil {
			return err
		}
	}
	return nil
}

// add adds to an account; the statement is not idempotent.
func (l *ledger) add(ctx context.Context, n, account, amount int) error {
	sql := fmt.Sprintf("/* request_key=ledger-%d-%d */ UPDATE accounts SET total = total + %d, additions = additions + 1 WHERE id = %d", l.id, n, amount, account)
	return l.untilDone(ctx, func(ctx context.Context, conn *pgx.Conn) error {
		tag, err := conn.Exec(ctx, sql)
		if err == nil && tag.RowsAffected() != 1 {
			return fmt.Errorf("%d rows changed", tag.RowsAffected())
		}
		return err
	})
}

// readOwn reads the account that only this ledger adds to.
func (l *ledger) readOwn(ctx context.Context) error {
	var sum int64
	err := l.untilDone(ctx, func(ctx context.Context, conn *pgx.Conn) error {
		return conn.QueryRow(ctx, "/* kind=lookup */ SELECT total FROM accounts WHERE id = $1", accounts+l.id).Scan(&sum)
	})
	l.sums = append(l.sums, sum)
	return err
}

// untilDone repeats f on one entry after the other until it succeeds.
func (l *ledger) untilDone(ctx context.Context, f func(context.Context, *pgx.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, inputTimeout)
	defer cancel()
	for {
		err := l.once(ctx, f)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if workload.ResultOf(err) == history.Unknown {
			l.repeats++
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (l *ledger) once(ctx context.Context, f func(context.Context, *pgx.Conn) error) error {
	entry := l.entries[l.next%len(l.entries)]
	l.next++
	conn, err := workload.Connect(ctx, entry, poolName, fmt.Sprintf("ledger-%d", l.id))
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	return f(ctx, conn)
}

// account is a row of the final table.
type account struct {
	ID, Total, Additions int64
}

// outcome is what a deployment made of the inputs.
type outcome struct {
	accounts []account
	sums     [][]int64
	repeats  int
}

// runLedgers carries out the inputs with faults injected meanwhile.
func (r *run) runLedgers(inject func(r *run)) outcome {
	r.t.Helper()
	r.exec("CREATE TABLE accounts (id integer PRIMARY KEY, total integer NOT NULL, additions integer NOT NULL)")
	for id := range accounts + ledgers {
		r.exec(fmt.Sprintf("INSERT INTO accounts (id, total, additions) VALUES (%d, 0, 0)", id))
	}
	var wg sync.WaitGroup
	all := make([]*ledger, ledgers)
	errs := make([]error, ledgers)
	for i := range all {
		all[i] = &ledger{r: r, id: i, entries: r.entries(), random: rand.New(rand.NewPCG(r.seed, uint64(i)))}
		wg.Go(func() { errs[i] = all[i].run(context.Background()) })
	}
	inject(r)
	injected := time.Now()
	wg.Wait()
	r.t.Logf("the last input ended %s after the last fault", time.Since(injected))
	out := outcome{accounts: r.readAccounts()}
	for i, l := range all {
		r.g.Expect(errs[i]).NotTo(HaveOccurred())
		out.sums = append(out.sums, l.sums)
		out.repeats += l.repeats
	}
	return out
}

func (r *run) readAccounts() []account {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recovery)
	defer cancel()
	conn, err := workload.Connect(ctx, r.entries()[0], poolName, "checker")
	r.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT id, total, additions FROM accounts ORDER BY id")
	r.g.Expect(err).NotTo(HaveOccurred())
	list, err := pgx.CollectRows(rows, pgx.RowToStructByPos[account])
	r.g.Expect(err).NotTo(HaveOccurred())
	return list
}

// Guards against any lost, doubled or misplaced effect that the rules of the
// other tests do not name: the same inputs give the same tables and the same
// reads as the naive version (primary only, first in first out, no faults), while
// the owner and the primary fail, alone and together.
func TestSameTablesAsNaiveVersion(t *testing.T) {
	naive := newRun(t, localdeploy.Config{
		PrimaryOnly:  true,
		NewScheduler: func() admission.Scheduler { return admission.NewFIFO(admission.FIFOConfig{}) },
	})
	want := naive.runLedgers(func(*run) {})
	naive.g.Expect(naive.d.Close()).To(Succeed())

	r := newRun(t, localdeploy.Config{Hosts: 4})
	got := r.runLedgers(func(r *run) {
		time.Sleep(300 * time.Millisecond)
		r.failOwnerAndPrimary(true, false)
		r.failOwnerAndPrimary(false, true)
		r.failOwnerAndPrimary(true, true)
	})
	t.Logf("%d inputs were repeated after an unknown outcome", got.repeats)
	r.g.Expect(got.repeats).To(BeNumerically(">", 0), "no input met a fault")
	r.g.Expect(got.accounts).To(Equal(want.accounts))
	r.g.Expect(got.sums).To(Equal(want.sums))
}

// failOwnerAndPrimary fails either or both for the time of a change of primary.
func (r *run) failOwnerAndPrimary(owner, primary bool) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recovery)
	defer cancel()
	r.g.Expect(r.d.WaitForOwner(ctx, poolName)).To(Succeed())
	h, s := r.d.Owner(poolName), r.d.Primary(poolName)
	s.SetFaults(func(f *database.Faults) { f.Cut = primary })
	if owner {
		h.Kill()
	}
	time.Sleep(2500 * time.Millisecond)
	s.SetFaults(func(f *database.Faults) { f.Cut = false })
	if owner {
		r.g.Expect(h.Start()).To(Succeed())
	}
	time.Sleep(300 * time.Millisecond)
}
