package peer_test

import (
	"bytes"
	"context"
	"sync"
	"syscall"
	"testing"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

const (
	benchCallers = 80
	benchBytes   = 200
)

// cpuTime returns the user and system time of this process, in microseconds.
func cpuTime(b *testing.B) float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return float64(u.Utime.Sec+u.Stime.Sec)*1e6 + float64(u.Utime.Usec+u.Stime.Usec)
}

// runCallers makes b.N calls from benchCallers goroutines and reports the CPU
// time of client and server together.
func runCallers(b *testing.B, call func() error) {
	if err := call(); err != nil {
		b.Fatal(err)
	}
	work := make(chan struct{}, benchCallers)
	var wg sync.WaitGroup
	before := cpuTime(b)
	b.ResetTimer()
	for range benchCallers {
		wg.Go(func() {
			for range work {
				if err := call(); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	b.ReportMetric((cpuTime(b)-before)/float64(b.N), "cpu-µs/op")
}

// Measures a request and an answer of 200 bytes each on the shared stream.
func BenchmarkSharedStream(b *testing.B) {
	body := bytes.Repeat([]byte("x"), benchBytes)
	_, address := startService(b, peer.ServiceConfig{RequestHandler: &fakeRequestHandler{serve: echo}})
	streams, _ := startClient(b, peer.Config{})
	runCallers(b, func() error {
		req := newRequest("")
		req.Batch = body
		_, err := streams.Do(context.Background(), address, req, func([]byte) error { return nil })
		return err
	})
}

// echoOutcomeHandler answers QueryOutcome with the request ID, so that both
// bodies have the same length.
type echoOutcomeHandler struct{ fakeRequestHandler }

func (s *echoOutcomeHandler) QueryOutcome(req *peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse {
	return &peerv1.QueryOutcomeResponse{Answer: req.GetRequestId()}
}

// Measures a unary call with bodies of the same length as
// BenchmarkSharedStream.
func BenchmarkUnaryCall(b *testing.B) {
	body := bytes.Repeat([]byte("x"), benchBytes)
	_, address := startService(b, peer.ServiceConfig{RequestHandler: &echoOutcomeHandler{}})
	streams, _ := startClient(b, peer.Config{})
	runCallers(b, func() error {
		_, err := streams.QueryOutcome(context.Background(), address, &peerv1.QueryOutcomeRequest{RequestId: body})
		return err
	})
}
