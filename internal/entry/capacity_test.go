package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/beryltrestle/beryltrestle/internal/capacitytest"
	"github.com/beryltrestle/beryltrestle/internal/entry"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

var readyForQuery = []byte{'Z', 0, 0, 0, 5, 'I'}

// lightCaller is a caller that costs little beside its connection.
type lightCaller struct {
	net.Conn
	buf []byte
}

// dialLight starts a connection up.
func dialLight(b *testing.B, address string, i int) *lightCaller {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	c := &lightCaller{Conn: conn, buf: make([]byte, 1024)}
	start := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": fmt.Sprint("user-", i), "database": testPool},
	}
	msg, _ := start.Encode(nil)
	if err := c.exchange(msg); err != nil {
		b.Fatal(err)
	}
	return c
}

// exchange sends a message and reads to the end of the answer.
func (c *lightCaller) exchange(msg []byte) error {
	if _, err := c.Write(msg); err != nil {
		return err
	}
	for {
		n, err := c.Read(c.buf)
		if err != nil {
			return err
		}
		if bytes.HasSuffix(c.buf[:n], readyForQuery) {
			return nil
		}
	}
}

func query(text string) []byte {
	msg, _ := (&pgproto3.Query{String: text}).Encode(nil)
	return msg
}

// Measures memory and goroutines of callers that are idle after one request, and
// of callers whose request runs at the owner.
func BenchmarkMemoryOfCaller(b *testing.B) {
	for _, n := range []int{200, 1000} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			for b.Loop() {
				memoryOfCallers(b, n)
			}
		})
	}
}

func memoryOfCallers(b *testing.B, n int) {
	h := newHarness(b, func(c *entry.Config) { c.MaxCallers = 2 * n })
	if err := dialLight(b, h.listen, n).exchange(query("select 1")); err != nil { // Opens the stream.
		b.Fatal(err)
	}
	before, routines := capacitytest.MemoryInUse(), runtime.NumGoroutine()
	callers := make([]*lightCaller, n)
	for i := range callers {
		callers[i] = dialLight(b, h.listen, i)
	}
	connected := capacitytest.MemoryInUse()
	for _, c := range callers {
		if err := c.exchange(query("select booked from slots where family = 17 and day = 4")); err != nil {
			b.Fatal(err)
		}
	}
	h.owner.forget()
	idle, idleRoutines := capacitytest.MemoryInUse(), runtime.NumGoroutine()
	own := int64(n) * int64(cap(callers[0].buf)+64)
	per := func(bytes int64) float64 { return float64(bytes) / float64(n) }
	b.ReportMetric(per(connected-before-own), "B/new")
	b.ReportMetric(per(idle-before-own), "B/idle")
	b.ReportMetric(per(int64(idleRoutines-routines)), "goroutines/idle")

	release := make(chan struct{})
	var started sync.WaitGroup
	started.Add(n)
	h.owner.setServe(func(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) {
		started.Done()
		<-release
		answerBatch(req, w)
	})
	for _, c := range callers {
		if _, err := c.Write(query("select booked from slots where family = 17 and day = 4")); err != nil {
			b.Fatal(err)
		}
	}
	started.Wait()
	time.Sleep(50 * time.Millisecond)
	h.owner.forget()
	// The owner's side of a request has a goroutine in this process, too.
	b.ReportMetric(per(capacitytest.MemoryInUse()-before-own), "B/active-with-owner")
	b.ReportMetric(per(int64(runtime.NumGoroutine()-routines)), "goroutines/active-with-owner")
	close(release)
}

// forget drops the requests that were recorded.
func (o *fakeOwner) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests = nil
}

// Measures a statement from caller to owner and back: the entry, both sides of the
// shared stream, an owner that answers at once, and the callers themselves.
func BenchmarkStatement(b *testing.B) {
	for _, n := range []int{1, 80, 400} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			h := newHarness(b, nil)
			h.owner.setServe(func(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) { answerBatch(req, w) })
			callers := make([]*lightCaller, n)
			for i := range callers {
				callers[i] = dialLight(b, h.listen, i)
			}
			msg := query("select booked from slots where family = 17 and day = 4")
			runCallers(b, callers, msg, int64(10*n))
			start := capacitytest.CPUTime()
			b.ResetTimer()
			runCallers(b, callers, msg, int64(b.N))
			b.ReportMetric(float64(capacitytest.CPUTime()-start)/float64(b.N), "cpu-ns/op")
		})
	}
}

func runCallers(b *testing.B, callers []*lightCaller, msg []byte, total int64) {
	b.Helper()
	var next atomic.Int64
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(func() {
			for next.Add(1) <= total {
				if err := c.exchange(msg); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}
