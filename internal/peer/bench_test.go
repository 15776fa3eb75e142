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

// processorTime returns the user and system time of this process, in
// microseconds.
func processorTime(b *testing.B) float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return float64(u.Utime.Sec+u.Stime.Sec)*1e6 + float64(u.Utime.Usec+u.Stime.Usec)
}

// runCallers runs b.N calls from 80 callers and reports the processor time of
// client and server together.
func runCallers(b *testing.B, call func() error) {
	if err := call(); err != nil {
		b.Fatal(err)
	}
	work := make(chan struct{}, benchCallers)
	var wg sync.WaitGroup
	before := processorTime(b)
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
	b.ReportMetric((processorTime(b)-before)/float64(b.N), "cpu-µs/op")
}

// BenchmarkShared measures one request and answer of 200 bytes on the shared
// stream.
func BenchmarkShared(b *testing.B) {
	body := bytes.Repeat([]byte("x"), benchBytes)
	_, address := startService(b, peer.ServiceConfig{RequestHandler: &fakeServer{serve: echo}})
	streams, _ := startStreams(b, peer.Config{})
	runCallers(b, func() error {
		req := newRequest("")
		req.Batch = body
		_, err := streams.Do(context.Background(), address, req, func([]byte) error { return nil })
		return err
	})
}

// unaryServer answers QueryOutcome with as many bytes as the request has.
type unaryServer struct{ fakeServer }

func (s *unaryServer) QueryOutcome(req *peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse {
	return &peerv1.QueryOutcomeResponse{Answer: req.GetRequestId()}
}

// BenchmarkUnary measures a unary call with bodies of the same length.
func BenchmarkUnary(b *testing.B) {
	body := bytes.Repeat([]byte("x"), benchBytes)
	_, address := startService(b, peer.ServiceConfig{RequestHandler: &unaryServer{}})
	streams, _ := startStreams(b, peer.Config{})
	runCallers(b, func() error {
		_, err := streams.QueryOutcome(context.Background(), address, &peerv1.QueryOutcomeRequest{RequestId: body})
		return err
	})
}
