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
	// documentCount is the number of documents, which have different sizes; see
	// chunkCount.
	documentCount = 24
	// chunkBytes is the size of one chunk, which is one row of a document.
	chunkBytes = 4 << 10
	// maxChunks makes the largest answer 512 KB: many times the 32 KB chunks in which
	// daemons send answers to each other, and many times the credit of one request.
	maxChunks = 128
	// readerCount is the number of concurrent readers, one of which is slow.
	readerCount = 10
)

// chunkContent returns the content of a row. It is different for each row, so that a
// row in the wrong answer is noticed.
func chunkContent(doc, part int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%d", doc, part))
	return strings.Repeat(hex.EncodeToString(sum[:]), chunkBytes/64)
}

// chunkCount returns the number of rows of a document: every fourth document is large.
func chunkCount(doc int) int {
	if doc%4 == 3 {
		return maxChunks
	}
	return 1 + doc%5
}

// documentChecker reads documents and compares each answer byte for byte with the
// expected one.
type documentChecker struct {
	r          *testRun
	mu         sync.Mutex
	mismatches []string
	// complete counts the answers without an error, and failed those with one.
	complete, failed int
}

func (a *documentChecker) storeDocuments() {
	a.r.runStatement("CREATE TABLE documents (doc integer NOT NULL, part integer NOT NULL, body text NOT NULL, PRIMARY KEY (doc, part))")
	ctx, cancel := context.WithTimeout(context.Background(), 3*recoveryTimeout)
	defer cancel()
	conn, err := workload.Connect(ctx, a.r.entries()[0], poolName, "setup")
	a.r.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close(ctx)
	for doc := range documentCount {
		tx, err := conn.Begin(ctx)
		a.r.g.Expect(err).NotTo(HaveOccurred())
		for part := range chunkCount(doc) {
			_, err := tx.Exec(ctx, "INSERT INTO documents (doc, part, body) VALUES ($1, $2, $3)", doc, part, chunkContent(doc, part))
			a.r.g.Expect(err).NotTo(HaveOccurred())
		}
		a.r.g.Expect(tx.Commit(ctx)).To(Succeed())
	}
}

// readDocument reads one document. It pauses between rows, so that with a pause the
// answer backs up in the proxy.
func (a *documentChecker) readDocument(ctx context.Context, conn *pgx.Conn, doc int, pause time.Duration) error {
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
		if gotDoc != doc || echo != nonce || part != n || body != chunkContent(doc, part) {
			a.addMismatch(fmt.Sprintf("row %d of document %d is part %d of document %d", n, doc, part, gotDoc))
		}
		n++
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	if rows.Err() == nil && n != chunkCount(doc) {
		a.addMismatch(fmt.Sprintf("document %d has %d rows of %d without an error", doc, n, chunkCount(doc)))
	}
	return rows.Err()
}

func (a *documentChecker) addMismatch(s string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mismatches = append(a.mismatches, s)
}

func (a *documentChecker) countAnswer(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.failed++
		return
	}
	a.complete++
}

// runReaders runs the readers until ctx ends. The first one is slow and reads a large
// document.
func (a *documentChecker) runReaders(ctx context.Context) {
	var wg sync.WaitGroup
	entries := a.r.entries()
	for i := range readerCount {
		random := rand.New(rand.NewPCG(a.r.seed, uint64(i)))
		wg.Go(func() {
			for ctx.Err() == nil {
				a.connectAndRead(ctx, entries[random.IntN(len(entries))], random, i == 0)
			}
		})
	}
	wg.Wait()
}

// connectAndRead opens a connection and reads several documents on it.
func (a *documentChecker) connectAndRead(ctx context.Context, entry string, random *rand.Rand, slow bool) {
	opCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := workload.Connect(opCtx, entry, poolName, fmt.Sprintf("reader-%d", random.IntN(4)))
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	defer conn.Close(context.Background())
	for n := 0; n < 20 && ctx.Err() == nil && !conn.IsClosed(); n++ {
		doc, pause := random.IntN(documentCount), time.Duration(0)
		if slow {
			doc, pause = 3, 4*time.Millisecond
		}
		a.countAnswer(a.readDocument(opCtx, conn, doc, pause))
	}
}

// Guards against an answer that reaches another caller, lacks a part or ends early
// without an error. Answers of many sizes share the streams between daemons, one caller
// is slow, the owner is killed twice, and the second time the primary is cut off as
// well.
func TestEachCallerGetsItsWholeAnswer(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	a := &documentChecker{r: r}
	a.storeDocuments()
	r.awaitReplicas()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.runReaders(ctx)
	}()
	for i := range 2 {
		time.Sleep(time.Second)
		owner, primary := r.deployment.Owner(poolName), r.deployment.Primary(poolName)
		primary.SetFaults(func(f *database.Faults) { f.Cut = i == 1 })
		owner.Kill()
		time.Sleep(3 * time.Second)
		primary.SetFaults(func(f *database.Faults) { f.Cut = false })
		r.g.Expect(owner.Start()).To(Succeed())
	}
	time.Sleep(time.Second)
	cancel()
	<-ended
	t.Logf("%d whole answers, %d ended with an error", a.complete, a.failed)
	r.g.Expect(a.mismatches).To(BeEmpty())
	r.g.Expect(a.complete).To(BeNumerically(">", 200))
}
