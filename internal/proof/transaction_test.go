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

// parts is the number of rows that each transaction of the test inserts.
const parts = 4

// transactions runs transactions of several statements and records which were
// confirmed.
type transactions struct {
	r         *run
	next      atomic.Int64
	mu        sync.Mutex
	confirmed map[int64]bool
	rolled    map[int64]bool
	mixed     []string
}

// one runs one transaction: each statement must see exactly the rows that its
// own transaction wrote.
func (x *transactions) one(ctx context.Context, entry string, random *rand.Rand) {
	id := x.next.Add(1)
	conn, err := workload.Connect(ctx, entry, poolName, fmt.Sprintf("tx-%d", id%8))
	if err != nil {
		return
	}
	defer conn.Close(context.Background())
	tx, err := conn.Begin(ctx)
	if err != nil {
		return
	}
	for part := range parts {
		if _, err := tx.Exec(ctx, "INSERT INTO parts (tx, part) VALUES ($1, $2)", id, part); err != nil {
			return
		}
		if !x.seesOwnRows(ctx, tx, id, part+1) {
			return
		}
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
	}
	x.end(ctx, tx, id, random)
}

func (x *transactions) seesOwnRows(ctx context.Context, tx pgx.Tx, id int64, want int) bool {
	var got, echo int64
	err := tx.QueryRow(ctx, "SELECT count(*), $1::int8 FROM parts WHERE tx = $1", id).Scan(&got, &echo)
	if err != nil {
		return false
	}
	if got != int64(want) || echo != id {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.mixed = append(x.mixed, fmt.Sprintf("transaction %d saw %d rows of %d, want %d", id, got, echo, want))
	}
	return true
}

func (x *transactions) end(ctx context.Context, tx pgx.Tx, id int64, random *rand.Rand) {
	if random.IntN(4) == 0 {
		if tx.Rollback(ctx) == nil {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.rolled[id] = true
		}
		return
	}
	if tx.Commit(ctx) == nil {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.confirmed[id] = true
	}
}

// drive runs n callers until ctx ends.
func (x *transactions) drive(ctx context.Context, n int, entries []string) {
	var wg sync.WaitGroup
	for i := range n {
		random := rand.New(rand.NewPCG(x.r.seed, uint64(i)))
		wg.Go(func() {
			for ctx.Err() == nil {
				opCtx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
				x.one(opCtx, entries[random.IntN(len(entries))], random)
				cancel()
			}
		})
	}
	wg.Wait()
}

// stored returns the number of rows of each transaction.
func (x *transactions) stored() map[int64]int {
	ctx, cancel := context.WithTimeout(context.Background(), recovery)
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

// Guards against statements of one transaction that run in another one or on
// their own, when an entry and then the owner die in the middle of transactions,
// the second time together with the primary.
func TestTransactionsNeverMix(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.exec("CREATE TABLE parts (tx integer NOT NULL, part integer NOT NULL, PRIMARY KEY (tx, part))")
	x := &transactions{r: r, confirmed: make(map[int64]bool), rolled: make(map[int64]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		x.drive(ctx, 8, r.entries())
	}()
	for i := range 2 {
		time.Sleep(700 * time.Millisecond)
		owner, primary := r.d.Owner(poolName), r.d.Primary(poolName)
		entry := r.otherThan(owner)
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
	stored := x.stored()
	t.Logf("%d transactions, %d confirmed, %d rolled back", x.next.Load(), len(x.confirmed), len(x.rolled))
	r.g.Expect(x.mixed).To(BeEmpty())
	for id, n := range stored {
		r.g.Expect(n).To(Equal(parts), "transaction %d is stored in part", id)
		r.g.Expect(x.rolled[id]).To(BeFalse(), "transaction %d was rolled back", id)
	}
	for id := range x.confirmed {
		r.g.Expect(stored[id]).To(Equal(parts), "confirmed transaction %d", id)
	}
	r.g.Expect(len(x.confirmed)).To(BeNumerically(">", 50))
}
