// Package capacitytest provides helpers for the benchmarks behind docs/CAPACITY.md:
// they measure CPU time and memory of the process and bytes on connections, and
// generate manifests of any size.
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

// Sizes are the current size of a deployment and the size expected in two years; see
// section 1.2 of the design.
var Sizes = []Size{{14, 6}, {5500, 6800}}

// String returns the size as part of a benchmark's name.
func (s Size) String() string { return fmt.Sprintf("hosts=%d/pools=%d", s.Hosts, s.Pools) }

// CPUTime returns the CPU time that this process has used.
func CPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// MemoryInUse returns the number of bytes in use for heap and stacks after a garbage
// collection.
func MemoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// ReportCPUAndTraffic reports, per operation of the benchmark, the CPU time used since
// start and the given numbers of received and sent bytes.
func ReportCPUAndTraffic(b *testing.B, start time.Duration, in, out int64) {
	b.Helper()
	n := float64(b.N)
	b.ReportMetric(float64(CPUTime()-start)/n, "cpu-ns/op")
	b.ReportMetric(float64(in)/n, "wire-in-B/op")
	b.ReportMetric(float64(out)/n, "wire-out-B/op")
}

// Listener counts the accepted connections and their reads, writes and bytes, without
// TCP and IP headers.
type Listener struct {
	net.Listener
	BytesIn, BytesOut, Reads, Writes, Accepted atomic.Int64
}

// Listen returns a listener on the loopback interface, which is closed when the test
// ends.
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
	l.Accepted.Add(1)
	return &countingConn{c, l}, nil
}

// countingConn counts its reads, writes and bytes in its listener.
type countingConn struct {
	net.Conn
	listener *Listener
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.BytesIn.Add(int64(n))
	c.listener.Reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.BytesOut.Add(int64(n))
	c.listener.Writes.Add(1)
	return n, err
}

// ResizeManifest returns a valid manifest of the given size. Its hosts and pools are
// copies of those of doc under other names.
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
