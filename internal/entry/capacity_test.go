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

// minimalCaller is a caller that needs little memory besides its connection.
type minimalCaller struct {
	net.Conn
	buf []byte
}

// dialMinimal connects to the entry and completes the startup.
func dialMinimal(b *testing.B, address string, i int) *minimalCaller {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	c := &minimalCaller{Conn: conn, buf: make([]byte, 1024)}
	start := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": fmt.Sprint("user-", i), "database": testPool},
	}
	msg, _ := start.Encode(nil)
	if err := c.roundTrip(msg); err != nil {
		b.Fatal(err)
	}
	return c
}

// roundTrip sends a message and reads the answer to its end.
func (c *minimalCaller) roundTrip(msg []byte) error {
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

// Measures the memory and goroutines for each caller: idle after one request, and while
// a request runs at the owner.
func BenchmarkCallerMemory(b *testing.B) {
	for _, n := range []int{200, 1000} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureCallerMemory(b, n)
			}
		})
	}
}

func measureCallerMemory(b *testing.B, n int) {
	h := newHarness(b, func(c *entry.Config) { c.MaxCallers = 2 * n })
	if err := dialMinimal(b, h.callerAddress, n).roundTrip(query("select 1")); err != nil { // Opens the stream.
		b.Fatal(err)
	}
	before, routines := capacitytest.MemoryInUse(), runtime.NumGoroutine()
	callers := make([]*minimalCaller, n)
	for i := range callers {
		callers[i] = dialMinimal(b, h.callerAddress, i)
	}
	connected := capacitytest.MemoryInUse()
	for _, c := range callers {
		if err := c.roundTrip(query("select booked from slots where family = 17 and day = 4")); err != nil {
			b.Fatal(err)
		}
	}
	h.owner.forget()
	idle, idleRoutines := capacitytest.MemoryInUse(), runtime.NumGoroutine()
	callerBytes := int64(n) * int64(cap(callers[0].buf)+64)
	perCaller := func(bytes int64) float64 { return float64(bytes) / float64(n) }
	b.ReportMetric(perCaller(connected-before-callerBytes), "B/new")
	b.ReportMetric(perCaller(idle-before-callerBytes), "B/idle")
	b.ReportMetric(perCaller(int64(idleRoutines-routines)), "goroutines/idle")

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
	// The owner runs in this process, too, with a goroutine for each request.
	b.ReportMetric(perCaller(capacitytest.MemoryInUse()-before-callerBytes), "B/active-with-owner")
	b.ReportMetric(perCaller(int64(runtime.NumGoroutine()-routines)), "goroutines/active-with-owner")
	close(release)
}

// forget deletes the recorded requests.
func (o *fakeOwner) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests = nil
}

// Measures a statement from the caller to the owner and back. This includes the entry,
// both sides of the shared stream, an owner that answers at once, and the callers
// themselves.
func BenchmarkStatement(b *testing.B) {
	for _, n := range []int{1, 80, 400} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			h := newHarness(b, nil)
			h.owner.setServe(func(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) { answerBatch(req, w) })
			callers := make([]*minimalCaller, n)
			for i := range callers {
				callers[i] = dialMinimal(b, h.callerAddress, i)
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

func runCallers(b *testing.B, callers []*minimalCaller, msg []byte, total int64) {
	b.Helper()
	var next atomic.Int64
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(func() {
			for next.Add(1) <= total {
				if err := c.roundTrip(msg); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}
