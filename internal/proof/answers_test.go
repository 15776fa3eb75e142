package proof_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

const (
	// documents are stored at the start; document n has n%largeDocuments chunks
	// and more, so that answers have many sizes.
	documents = 24
	// chunkBytes is the size of one row of a document.
	chunkBytes = 4 << 10
	// largestChunks makes the largest answer 512 KB, many times the 32 KB chunk
	// of an answer between daemons and the credit of one request.
	largestChunks = 128
	// readers read concurrently; one of them is slow.
	readers = 10
)

// chunk returns the content of a row, which depends on everything that a mixed
// up answer could confuse.
func chunk(doc, part int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%d", doc, part))
	return strings.Repeat(hex.EncodeToString(sum[:]), chunkBytes/64)
}

// chunks returns the number of rows of a document: small and large in turn.
func chunks(doc int) int {
	if doc%4 == 3 {
		return largestChunks
	}
	return 1 + doc%5
}

// answers reads documents and verifies each answer byte for byte.
type answers struct {
	r     *run
	mu    sync.Mutex
	wrong []string
	// whole counts verified answers, failed those that ended with an error.
	whole, failed int
}

func (a *answers) store() {
	a.r.exec("CREATE TABLE documents (doc integer NOT NULL, part integer NOT NULL, body text NOT NULL, PRIMARY KEY (doc, part))")
	ctx, cancel := context.WithTimeout(context.Background(), 3*recovery)
	defer cancel()
	conn, err := workload.Connect(ctx, a.r.entries()[0], poolName, "setup")
	a.r.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close(ctx)
	for doc := range documents {
		tx, err := conn.Begin(ctx)
		a.r.g.Expect(err).NotTo(HaveOccurred())
		for part := range chunks(doc) {
			_, err := tx.Exec(ctx, "INSERT INTO documents (doc, part, body) VALUES ($1, $2, $3)", doc, part, chunk(doc, part))
			a.r.g.Expect(err).NotTo(HaveOccurred())
		}
		a.r.g.Expect(tx.Commit(ctx)).To(Succeed())
	}
}

// read reads one document. A slow reader pauses between rows, so that its answer
// waits in the proxy.
func (a *answers) read(ctx context.Context, conn *pgx.Conn, doc int, pause time.Duration) error {
	nonce := rand.Int64()
	rows, err := conn.Query(ctx, "/* kind=lookup */ SELECT doc, part, body, $2::int8 FROM documents WHERE doc = $1 ORDER BY part", doc, nonce)
	if err != nil {
		return err
	}
	defer rows.Close()
	n := 0
	for rows.Next() {
		var gotDoc, part int
		var body string
		var echo int64
		if err := rows.Scan(&gotDoc, &part, &body, &echo); err != nil {
			return err
		}
		if gotDoc != doc || echo != nonce || part != n || body != chunk(doc, part) {
			a.addWrong(fmt.Sprintf("row %d of document %d is part %d of document %d", n, doc, part, gotDoc))
		}
		n++
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	if rows.Err() == nil && n != chunks(doc) {
		a.addWrong(fmt.Sprintf("document %d has %d rows of %d without an error", doc, n, chunks(doc)))
	}
	return rows.Err()
}

func (a *answers) addWrong(s string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wrong = append(a.wrong, s)
}

func (a *answers) count(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.failed++
		return
	}
	a.whole++
}

// drive reads until ctx ends; the first reader is slow and reads large answers.
func (a *answers) drive(ctx context.Context) {
	var wg sync.WaitGroup
	entries := a.r.entries()
	for i := range readers {
		random := rand.New(rand.NewPCG(a.r.seed, uint64(i)))
		wg.Go(func() {
			for ctx.Err() == nil {
				a.connectAndRead(ctx, entries[random.IntN(len(entries))], random, i == 0)
			}
		})
	}
	wg.Wait()
}

// connectAndRead reads several documents on one connection.
func (a *answers) connectAndRead(ctx context.Context, entry string, random *rand.Rand, slow bool) {
	opCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := workload.Connect(opCtx, entry, poolName, fmt.Sprintf("reader-%d", random.IntN(4)))
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	defer conn.Close(context.Background())
	for n := 0; n < 20 && ctx.Err() == nil && !conn.IsClosed(); n++ {
		doc, pause := random.IntN(documents), time.Duration(0)
		if slow {
			doc, pause = 3, 4*time.Millisecond
		}
		a.count(a.read(opCtx, conn, doc, pause))
	}
}

// Guards against an answer that reaches another caller, loses a part or ends
// early without an error, while answers of many sizes share the streams between
// daemons, one caller is slow, the owner is killed twice and the primary is cut
// off the second time.
func TestEachCallerGetsItsWholeAnswer(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	a := &answers{r: r}
	a.store()
	r.awaitReplicas()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.drive(ctx)
	}()
	for i := range 2 {
		time.Sleep(time.Second)
		owner, primary := r.d.Owner(poolName), r.d.Primary(poolName)
		primary.SetFaults(func(f *database.Faults) { f.Cut = i == 1 })
		owner.Kill()
		time.Sleep(3 * time.Second)
		primary.SetFaults(func(f *database.Faults) { f.Cut = false })
		r.g.Expect(owner.Start()).To(Succeed())
	}
	time.Sleep(time.Second)
	cancel()
	<-ended
	t.Logf("%d whole answers, %d ended with an error", a.whole, a.failed)
	r.g.Expect(a.wrong).To(BeEmpty())
	r.g.Expect(a.whole).To(BeNumerically(">", 200))
}
