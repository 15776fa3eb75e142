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
	// ledgerCount is the number of concurrent callers of the differential test.
	ledgerCount = 8
	// inputsPerLedger is the number of inputs of each caller.
	inputsPerLedger = 120
	// sharedAccounts is the number of accounts that all callers add to. A lost or
	// duplicate addition changes their totals.
	sharedAccounts = 5
	// inputTimeout bounds one input with all its repeats.
	inputTimeout = 40 * time.Second
)

// ledger executes the inputs of one caller in order and repeats each one until it is
// confirmed. Inputs have request keys, so a repeat has no second effect.
type ledger struct {
	r       *testRun
	id      int
	entries []string
	// random generates the inputs. It does not choose the entries, because the number of
	// repeats differs between runs, and the inputs must not.
	random    *rand.Rand
	nextEntry int
	// repeats counts how often an input was sent again after an unknown outcome.
	repeats int
	// ownTotals are the totals of the ledger's own account that it read after each
	// addition.
	ownTotals []int64
}

func (l *ledger) run(ctx context.Context) error {
	for n := range inputsPerLedger {
		amount, account := 1+l.random.IntN(9), l.random.IntN(sharedAccounts)
		if err := l.add(ctx, n, account, amount); err != nil {
			return err
		}
		if err := l.add(ctx, n+inputsPerLedger, sharedAccounts+l.id, amount); err != nil {
			return err
		}
		if err := l.readOwnAccount(ctx); err != nil {
			return err
		}
	}
	return nil
}

// add adds to the account. The statement itself is not idempotent.
func (l *ledger) add(ctx context.Context, n, account, amount int) error {
	sql := fmt.Sprintf("/* request_key=ledger-%d-%d */ UPDATE accounts SET total = total + %d, additions = additions + 1 WHERE id = %d", l.id, n, amount, account)
	return l.retryUntilDone(ctx, func(ctx context.Context, conn *pgx.Conn) error {
		tag, err := conn.Exec(ctx, sql)
		if err == nil && tag.RowsAffected() != 1 {
			return fmt.Errorf("%d rows changed", tag.RowsAffected())
		}
		return err
	})
}

// readOwnAccount reads the total of the account that only this ledger adds to.
func (l *ledger) readOwnAccount(ctx context.Context) error {
	var total int64
	err := l.retryUntilDone(ctx, func(ctx context.Context, conn *pgx.Conn) error {
		return conn.QueryRow(ctx, "/* kind=lookup */ SELECT total FROM accounts WHERE id = $1", sharedAccounts+l.id).Scan(&total)
	})
	l.ownTotals = append(l.ownTotals, total)
	return err
}

// retryUntilDone runs work through one host after the other until it succeeds.
func (l *ledger) retryUntilDone(ctx context.Context, work func(context.Context, *pgx.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, inputTimeout)
	defer cancel()
	for {
		err := l.runOnce(ctx, work)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if workload.ResultOf(err) == history.Unknown {
			l.repeats++
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (l *ledger) runOnce(ctx context.Context, work func(context.Context, *pgx.Conn) error) error {
	entry := l.entries[l.nextEntry%len(l.entries)]
	l.nextEntry++
	conn, err := workload.Connect(ctx, entry, poolName, fmt.Sprintf("ledger-%d", l.id))
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	return work(ctx, conn)
}

// account is a row of the final table.
type account struct {
	ID, Total, Additions int64
}

// ledgersResult is the result of all inputs on one deployment.
type ledgersResult struct {
	accounts  []account
	ownTotals [][]int64
	repeats   int
}

// runLedgers runs all ledgers while inject injects faults.
func (r *testRun) runLedgers(inject func(r *testRun)) ledgersResult {
	r.t.Helper()
	r.runStatement("CREATE TABLE accounts (id integer PRIMARY KEY, total integer NOT NULL, additions integer NOT NULL)")
	for id := range sharedAccounts + ledgerCount {
		r.runStatement(fmt.Sprintf("INSERT INTO accounts (id, total, additions) VALUES (%d, 0, 0)", id))
	}
	var wg sync.WaitGroup
	all := make([]*ledger, ledgerCount)
	errs := make([]error, ledgerCount)
	for i := range all {
		all[i] = &ledger{r: r, id: i, entries: r.entries(), random: rand.New(rand.NewPCG(r.seed, uint64(i)))}
		wg.Go(func() { errs[i] = all[i].run(context.Background()) })
	}
	inject(r)
	injected := time.Now()
	wg.Wait()
	r.t.Logf("the last input ended %s after the last fault", time.Since(injected))
	out := ledgersResult{accounts: r.readAccounts()}
	for i, l := range all {
		r.g.Expect(errs[i]).NotTo(HaveOccurred())
		out.ownTotals = append(out.ownTotals, l.ownTotals)
		out.repeats += l.repeats
	}
	return out
}

func (r *testRun) readAccounts() []account {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
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

// Guards against lost, duplicate or wrong effects that the rules of the other tests do
// not cover. While the owner and the primary fail, alone and together, the same inputs
// must give the same tables and the same reads as the naive policy without faults (all
// statements on the primary in order of arrival).
func TestSameTablesAsNaiveVersion(t *testing.T) {
	naive := newRun(t, localdeploy.Config{
		PrimaryOnly:  true,
		NewScheduler: func() admission.Scheduler { return admission.NewFIFO(admission.FIFOConfig{}) },
	})
	want := naive.runLedgers(func(*testRun) {})
	naive.g.Expect(naive.deployment.Close()).To(Succeed())

	r := newRun(t, localdeploy.Config{Hosts: 4})
	got := r.runLedgers(func(r *testRun) {
		time.Sleep(300 * time.Millisecond)
		r.failOwnerAndPrimary(true, false)
		r.failOwnerAndPrimary(false, true)
		r.failOwnerAndPrimary(true, true)
	})
	t.Logf("%d inputs were repeated after an unknown outcome", got.repeats)
	r.g.Expect(got.repeats).To(BeNumerically(">", 0), "no input met a fault")
	r.g.Expect(got.accounts).To(Equal(want.accounts))
	r.g.Expect(got.ownTotals).To(Equal(want.ownTotals))
}

// failOwnerAndPrimary kills the owner, cuts off the primary, or both, for long enough
// that they are replaced, and restores them.
func (r *testRun) failOwnerAndPrimary(owner, primary bool) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	r.g.Expect(r.deployment.WaitForOwner(ctx, poolName)).To(Succeed())
	h, s := r.deployment.Owner(poolName), r.deployment.Primary(poolName)
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
