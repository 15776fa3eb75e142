package peer_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/capacitytest"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

// answeringControlHandler answers heartbeats, pre-votes and fetches.
type answeringControlHandler struct{ fakeControlHandler }

func (*answeringControlHandler) Heartbeat(context.Context, *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	return &peerv1.HeartbeatResponse{Incarnation: 1 << 62, ManifestGeneration: 5_000_000, HostListVersion: 900_000}, nil
}

func (*answeringControlHandler) PreVote(context.Context, *peerv1.PreVoteRequest) (*peerv1.PreVoteResponse, error) {
	return &peerv1.PreVoteResponse{OwnerAlive: true, HighestTerm: 90_000}, nil
}

func (*answeringControlHandler) FetchManifest(context.Context, *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	return &peerv1.FetchManifestResponse{Generation: 5_000_000, Root: fmt.Sprintf("%064d", 7)}, nil
}

// startCountedService returns a client of a new service, and the service's
// listener, which counts bytes.
func startCountedService(b *testing.B) (*peer.UnaryClient, *capacitytest.Listener, string) {
	b.Helper()
	ln := capacitytest.Listen(b)
	service := peer.NewService(peer.ServiceConfig{RequestHandler: &fakeRequestHandler{serve: echo}, ControlHandler: &answeringControlHandler{}})
	go func() { _ = service.Serve(ln) }()
	b.Cleanup(service.Close)
	calls := peer.NewUnaryClient(peer.Config{Address: "10.0.21.250:7430"})
	b.Cleanup(calls.Close)
	return calls, ln, ln.Addr().String()
}

// benchmarkCall measures a unary call, client and server together.
func benchmarkCall(b *testing.B, call func(c *peer.UnaryClient, address string) error) {
	calls, ln, address := startCountedService(b)
	if err := call(calls, address); err != nil {
		b.Fatal(err)
	}
	in, out, start := ln.BytesIn.Load(), ln.BytesOut.Load(), capacitytest.CPUTime()
	b.ReportAllocs()
	for b.Loop() {
		if err := call(calls, address); err != nil {
			b.Fatal(err)
		}
	}
	capacitytest.ReportCPUAndTraffic(b, start, ln.BytesIn.Load()-in, ln.BytesOut.Load()-out)
}

// Measures a heartbeat that names n owned groups.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{0, 1, 2, 8} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			req := &peerv1.HeartbeatRequest{
				Host: "entry-5499", Address: "10.0.21.250:7430", Incarnation: 1 << 62,
				ManifestGeneration: 5_000_000, HostListVersion: 900_000, LoadPercent: 40,
			}
			for i := range n {
				req.Owned = append(req.Owned, &peerv1.OwnedGroup{Pool: fmt.Sprintf("members-%04d", i), Term: 90_000})
			}
			benchmarkCall(b, func(c *peer.UnaryClient, address string) error {
				_, err := c.Heartbeat(context.Background(), address, req)
				return err
			})
		})
	}
}

// Measures one pre-vote.
func BenchmarkPreVote(b *testing.B) {
	req := &peerv1.PreVoteRequest{Pool: "members-0001", Term: 90_000, Candidate: "10.0.21.250:7430"}
	benchmarkCall(b, func(c *peer.UnaryClient, address string) error {
		_, err := c.PreVote(context.Background(), address, req)
		return err
	})
}

// Measures a fetch from a peer that has no newer manifest.
func BenchmarkFetchWithoutNewManifest(b *testing.B) {
	req := &peerv1.FetchManifestRequest{SinceGeneration: 5_000_000}
	benchmarkCall(b, func(c *peer.UnaryClient, address string) error {
		_, err := c.FetchManifest(context.Background(), address, req)
		return err
	})
}

// Measures a heartbeat to a peer without an open connection, which is the usual
// case for messages to random peers among thousands.
func BenchmarkHeartbeatOnNewConnection(b *testing.B) {
	_, ln, address := startCountedService(b)
	req := &peerv1.HeartbeatRequest{Host: "entry-5499", Address: "10.0.21.250:7430", Incarnation: 1 << 62}
	start := capacitytest.CPUTime()
	for b.Loop() {
		calls := peer.NewUnaryClient(peer.Config{Address: "10.0.21.250:7430"})
		if _, err := calls.Heartbeat(context.Background(), address, req); err != nil {
			b.Fatal(err)
		}
		calls.Close()
	}
	capacitytest.ReportCPUAndTraffic(b, start, ln.BytesIn.Load(), ln.BytesOut.Load())
}

// Measures idle connections after one call: bytes and CPU time for each
// connection and second, and the memory of both sides.
func BenchmarkIdleConnections(b *testing.B) {
	const watched = 3 * time.Second
	for _, n := range []int{20, 200} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				_, ln, address := startCountedService(b)
				before := capacitytest.MemoryInUse()
				for range n {
					calls := peer.NewUnaryClient(peer.Config{Address: "10.0.21.250:7430"})
					b.Cleanup(calls.Close)
					if _, err := calls.Heartbeat(context.Background(), address, &peerv1.HeartbeatRequest{}); err != nil {
						b.Fatal(err)
					}
				}
				memory := capacitytest.MemoryInUse() - before
				in, out, start := ln.BytesIn.Load(), ln.BytesOut.Load(), capacitytest.CPUTime()
				time.Sleep(watched)
				per := 1 / (float64(n) * watched.Seconds())
				b.ReportMetric(float64(capacitytest.CPUTime()-start)*per, "cpu-ns/conn/s")
				b.ReportMetric(float64(ln.BytesIn.Load()-in)*per, "wire-in-B/conn/s")
				b.ReportMetric(float64(ln.BytesOut.Load()-out)*per, "wire-out-B/conn/s")
				b.ReportMetric(float64(memory)/float64(n), "memory-B/conn")
			}
		})
	}
}

// Measures a request on the shared stream, client and server together, for
// numbers of concurrent callers and of owners.
func BenchmarkExchange(b *testing.B) {
	for _, s := range []struct{ callers, owners int }{{1, 1}, {80, 1}, {80, 8}, {80, 80}} {
		b.Run(fmt.Sprintf("callers=%d/owners=%d", s.callers, s.owners), func(b *testing.B) {
			benchmarkExchange(b, s.callers, s.owners)
		})
	}
}

func benchmarkExchange(b *testing.B, callers, owners int) {
	streams, _ := startClient(b, peer.Config{})
	var listeners []*capacitytest.Listener
	for range owners {
		_, ln, _ := startCountedService(b)
		listeners = append(listeners, ln)
	}
	body := string(make([]byte, 200))
	var next atomic.Int64
	run := func(total int64) {
		next.Store(0)
		var wg sync.WaitGroup
		for c := range callers {
			address := listeners[c%owners].Addr().String()
			wg.Go(func() {
				for next.Add(1) <= total {
					if _, err := streams.Do(context.Background(), address, newRequest(body), func([]byte) error { return nil }); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		wg.Wait()
	}
	run(int64(10 * callers))
	wire := func() (in, out int64) {
		for _, ln := range listeners {
			in += ln.BytesIn.Load()
			out += ln.BytesOut.Load()
		}
		return in, out
	}
	in, out := wire()
	start := capacitytest.CPUTime()
	b.ResetTimer()
	run(int64(b.N))
	in2, out2 := wire()
	capacitytest.ReportCPUAndTraffic(b, start, in2-in, out2-out)
}
