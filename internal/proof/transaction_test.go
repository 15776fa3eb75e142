package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

// rowsPerTransaction is the number of rows that each transaction of the test inserts.
const rowsPerTransaction = 4

// transactionChecker runs transactions of several statements and records their
// outcomes.
type transactionChecker struct {
	r          *testRun
	lastID     atomic.Int64
	mu         sync.Mutex
	confirmed  map[int64]bool
	rolledBack map[int64]bool
	mismatches []string
}

// runTransaction runs one transaction on a new connection. Each statement must see
// exactly the rows that its own transaction has written.
func (x *transactionChecker) runTransaction(ctx context.Context, entry string, random *rand.Rand) {
	id := x.lastID.Add(1)
	conn, err := workload.Connect(ctx, entry, poolName, fmt.Sprintf("tx-%d", id%8))
	if err != nil {
		return
	}
	defer conn.Close(context.Background())
	tx, err := conn.Begin(ctx)
	if err != nil {
		return
	}
	for part := range rowsPerTransaction {
		if _, err := tx.Exec(ctx, "INSERT INTO parts (tx, part) VALUES ($1, $2)", id, part); err != nil {
			return
		}
		if !x.seesOwnRows(ctx, tx, id, part+1) {
			return
		}
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
	}
	x.commitOrRollBack(ctx, tx, id, random)
}

func (x *transactionChecker) seesOwnRows(ctx context.Context, tx pgx.Tx, id int64, want int) bool {
	var got, echo int64
	err := tx.QueryRow(ctx, "SELECT count(*), $1::int8 FROM parts WHERE tx = $1", id).Scan(&got, &echo)
	if err != nil {
		return false
	}
	if got != int64(want) || echo != id {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.mismatches = append(x.mismatches, fmt.Sprintf("transaction %d saw %d rows of %d, want %d", id, got, echo, want))
	}
	return true
}

func (x *transactionChecker) commitOrRollBack(ctx context.Context, tx pgx.Tx, id int64, random *rand.Rand) {
	if random.IntN(4) == 0 {
		if tx.Rollback(ctx) == nil {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.rolledBack[id] = true
		}
		return
	}
	if tx.Commit(ctx) == nil {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.confirmed[id] = true
	}
}

// runCallers runs n concurrent callers until ctx ends.
func (x *transactionChecker) runCallers(ctx context.Context, n int, entries []string) {
	var wg sync.WaitGroup
	for i := range n {
		random := rand.New(rand.NewPCG(x.r.seed, uint64(i)))
		wg.Go(func() {
			for ctx.Err() == nil {
				opCtx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
				x.runTransaction(opCtx, entries[random.IntN(len(entries))], random)
				cancel()
			}
		})
	}
	wg.Wait()
}

// countStored returns the number of stored rows of each transaction.
func (x *transactionChecker) countStored() map[int64]int {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	conn, err := workload.Connect(ctx, x.r.entries()[0], poolName, "checker")
	x.r.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT tx FROM parts")
	x.r.g.Expect(err).NotTo(HaveOccurred())
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	x.r.g.Expect(err).NotTo(HaveOccurred())
	out := make(map[int64]int)
	for _, id := range ids {
		out[id]++
	}
	return out
}

// Guards against statements that run in the transaction of another caller or outside
// of any. First a host that callers are connected to and then the owner is killed in the
// middle of transactions, twice, and the second time the primary is cut off as well.
func TestTransactionsNeverMix(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.runStatement("CREATE TABLE parts (tx integer NOT NULL, part integer NOT NULL, PRIMARY KEY (tx, part))")
	x := &transactionChecker{r: r, confirmed: make(map[int64]bool), rolledBack: make(map[int64]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		x.runCallers(ctx, 8, r.entries())
	}()
	for i := range 2 {
		time.Sleep(700 * time.Millisecond)
		owner, primary := r.deployment.Owner(poolName), r.deployment.Primary(poolName)
		entry := r.otherHost(owner)
		entry.Kill()
		time.Sleep(300 * time.Millisecond)
		r.g.Expect(entry.Start()).To(Succeed())
		primary.SetFaults(func(f *database.Faults) { f.Cut = i == 1 })
		owner.Kill()
		time.Sleep(2500 * time.Millisecond)
		primary.SetFaults(func(f *database.Faults) { f.Cut = false })
		r.g.Expect(owner.Start()).To(Succeed())
	}
	time.Sleep(500 * time.Millisecond)
	cancel()
	<-ended
	stored := x.countStored()
	t.Logf("%d transactions, %d confirmed, %d rolled back", x.lastID.Load(), len(x.confirmed), len(x.rolledBack))
	r.g.Expect(x.mismatches).To(BeEmpty())
	for id, n := range stored {
		r.g.Expect(n).To(Equal(rowsPerTransaction), "transaction %d is stored in part", id)
		r.g.Expect(x.rolledBack[id]).To(BeFalse(), "transaction %d was rolled back", id)
	}
	for id := range x.confirmed {
		r.g.Expect(stored[id]).To(Equal(rowsPerTransaction), "confirmed transaction %d", id)
	}
	r.g.Expect(len(x.confirmed)).To(BeNumerically(">", 50))
}
