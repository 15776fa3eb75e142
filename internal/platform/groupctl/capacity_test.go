package groupctl_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/capacitytest"
	"github.com/beryltrestle/beryltrestle/internal/platform/groupctl"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// readyForQuery is the end of each answer outside a transaction.
var readyForQuery = []byte{'Z', 0, 0, 0, 5, 'I'}

// Measures a status poll. With the stand-in, the CPU time includes that of the
// endpoint; with a replay of the endpoint's answer, only that of the replay.
func BenchmarkStatus(b *testing.B) {
	group, err := database.StartGroup(1, database.Config{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = group.Close() })
	address := group.Servers[0].Address()
	b.Run("server=stand-in", func(b *testing.B) { benchmarkStatus(b, address) })
	ln := capacitytest.Listen(b)
	go serveReplay(ln, address)
	b.Run("server=replay", func(b *testing.B) {
		in, out := ln.BytesIn.Load(), ln.BytesOut.Load()
		benchmarkStatus(b, ln.Addr().String())
		b.ReportMetric(float64(ln.BytesIn.Load()-in)/float64(b.N), "wire-in-B/op")
		b.ReportMetric(float64(ln.BytesOut.Load()-out)/float64(b.N), "wire-out-B/op")
	})
}

func benchmarkStatus(b *testing.B, address string) {
	c := groupctl.New()
	defer c.Close()
	if _, err := c.Status(context.Background(), address); err != nil {
		b.Fatal(err)
	}
	start := capacitytest.CPUTime()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Status(context.Background(), address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(capacitytest.CPUTime()-start)/float64(b.N), "cpu-ns/op")
}

// serveReplay forwards the startup and the first query to the endpoint, and
// repeats the first answer afterwards.
func serveReplay(ln net.Listener, address string) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		go replayAnswers(client, address)
	}
}

func replayAnswers(client net.Conn, address string) {
	defer client.Close()
	server, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	buf := make([]byte, 64<<10)
	var answer []byte
	for exchange := 0; ; exchange++ {
		n, err := client.Read(buf)
		if err != nil {
			return
		}
		if exchange < 2 {
			if answer, err = forwardMessage(server, buf[:n]); err != nil {
				return
			}
		}
		if _, err := client.Write(answer); err != nil {
			return
		}
	}
}

// forwardMessage sends a message to the endpoint and returns the complete
// answer.
func forwardMessage(server net.Conn, msg []byte) ([]byte, error) {
	if _, err := server.Write(msg); err != nil {
		return nil, err
	}
	var answer []byte
	buf := make([]byte, 64<<10)
	for !bytes.HasSuffix(answer, readyForQuery) {
		n, err := server.Read(buf)
		if err != nil {
			return nil, err
		}
		answer = append(answer, buf[:n]...)
	}
	return answer, nil
}
