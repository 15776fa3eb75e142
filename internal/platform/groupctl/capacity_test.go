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

// readyForQuery ends each answer outside a transaction.
var readyForQuery = []byte{'Z', 0, 0, 0, 5, 'I'}

// BenchmarkStatus measures a status poll. Against the stand-in, its processor time
// includes the endpoint's; against a replay of the endpoint's answer, only the
// replay's read and write.
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

// serveReplay passes the startup and the first answer on from the endpoint, and
// repeats that answer afterwards.
func serveReplay(ln net.Listener, address string) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		go replay(near, address)
	}
}

func replay(near net.Conn, address string) {
	defer near.Close()
	far, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	buf := make([]byte, 64<<10)
	var answer []byte
	for exchange := 0; ; exchange++ {
		n, err := near.Read(buf)
		if err != nil {
			return
		}
		if exchange < 2 {
			if answer, err = forward(far, buf[:n]); err != nil {
				return
			}
		}
		if _, err := near.Write(answer); err != nil {
			return
		}
	}
}

// forward sends a message to the endpoint and returns its whole answer.
func forward(far net.Conn, msg []byte) ([]byte, error) {
	if _, err := far.Write(msg); err != nil {
		return nil, err
	}
	var answer []byte
	buf := make([]byte, 64<<10)
	for !bytes.HasSuffix(answer, readyForQuery) {
		n, err := far.Read(buf)
		if err != nil {
			return nil, err
		}
		answer = append(answer, buf[:n]...)
	}
	return answer, nil
}
