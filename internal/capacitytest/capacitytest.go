// Package capacitytest holds what the benchmarks behind docs/CAPACITY.md share:
// processor time and memory of the process, bytes of connections, and a
// manifest of any size.
package capacitytest

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// Size is a number of hosts and pools.
type Size struct {
	Hosts, Pools int
}

// Sizes are today's size and the one expected in two years (design page, 1.2).
var Sizes = []Size{{14, 6}, {5500, 6800}}

// String returns the size as part of a benchmark's name.
func (s Size) String() string { return fmt.Sprintf("hosts=%d/pools=%d", s.Hosts, s.Pools) }

// CPUTime returns the processor time that this process has used.
func CPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// MemoryInUse returns the bytes in use on the heap and for stacks after a collection.
func MemoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// ReportCPUAndTraffic reports processor time and, if listeners are given, bytes and writes
// of their connections for each operation since the start.
func ReportCPUAndTraffic(b *testing.B, start time.Duration, in, out int64) {
	b.Helper()
	n := float64(b.N)
	b.ReportMetric(float64(CPUTime()-start)/n, "cpu-ns/op")
	b.ReportMetric(float64(in)/n, "wire-in-B/op")
	b.ReportMetric(float64(out)/n, "wire-out-B/op")
}

// Listener counts the bytes of its connections; TCP and IP headers are not
// included.
type Listener struct {
	net.Listener
	BytesIn, BytesOut, Reads, Writes, Opened atomic.Int64
}

// Listen returns a counting listener on loopback, closed with the test.
func Listen(t testing.TB) *Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &Listener{Listener: ln}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.Opened.Add(1)
	return &conn{c, l}, nil
}

// conn counts for its listener.
type conn struct {
	net.Conn
	l *Listener
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.BytesIn.Add(int64(n))
	c.l.Reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.l.BytesOut.Add(int64(n))
	c.l.Writes.Add(1)
	return n, err
}

// ResizeManifest returns a valid manifest of the size, made of the parts of doc.
func ResizeManifest(doc *manifest.Document, s Size) *manifest.Document {
	d := &manifest.Document{Version: doc.Version, Deployment: doc.Deployment}
	for i := range s.Hosts {
		h := doc.Hosts[i%len(doc.Hosts)]
		h.Name = fmt.Sprintf("entry-%04d", i)
		h.Address = fmt.Sprintf("10.0.%d.%d:7430", i/250, i%250+1)
		d.Hosts = append(d.Hosts, h)
	}
	for i := range s.Pools {
		p := doc.Pools[i%len(doc.Pools)]
		p.Name = fmt.Sprintf("members-%04d", i)
		d.Pools = append(d.Pools, p)
	}
	return d
}
