package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// The tests of this file guard against a host that ends, hangs, or exceeds its memory or its
// descriptors because of clients that nobody controls. They check nothing that depends on the
// speed of the machine. The crowds and the limits were fixed before the product had any
// protection; the commit that added them records which of them failed then.
const (
	// clientMemoryMb is the memory of the smallest hosts.
	clientMemoryMb = 136
	// clientMaxFds is below the descriptors of any host, so that a small crowd exceeds it.
	clientMaxFds = 400
	// crowdSize is the number of connections of a crowd that stays below clientMaxFds.
	crowdSize = 250
	// largeText is the size of a long message within the limit of 1 MiB.
	largeText = 900 << 10
	// serveTimeout bounds the wait for the ordinary statement, so that a hanging host fails.
	serveTimeout = time.Minute
)

// crowd is a number of clients of one host that runs as a process.
type crowd struct {
	*testing.T
	runner  *runner
	host    *host
	pid     int
	peakFds atomic.Int64
}

// startCrowd starts a host with lowered limits and stand-ins of its store and endpoints.
func startCrowd(t *testing.T) *crowd {
	t.Helper()
	g := NewWithT(t)
	daemon := filepath.Join(t.TempDir(), "beryltrestled")
	build := exec.Command("go", "build", "-o", daemon, "../../cmd/beryltrestled")
	build.Stderr = os.Stderr
	g.Expect(build.Run()).To(Succeed())
	r := newRunner(Config{
		DaemonPath: daemon, Dir: t.TempDir(), Hosts: 1, Log: zerolog.Nop(),
		limits: map[string]float64{"MemoryMb": clientMemoryMb, "MaxFds": clientMaxFds},
	})
	t.Cleanup(r.close)
	g.Expect(r.start(t.Context(), rand.New(rand.NewPCG(1, 1)))).To(Succeed())
	g.Expect(r.allHostsServe(t.Context(), serveTimeout)).To(BeTrue())
	c := &crowd{T: t, runner: r, host: r.hosts[0], pid: r.hosts[0].processID()}
	go r.repeat(t.Context(), 10*time.Millisecond, c.countFds)
	return c
}

// countFds records the number of open descriptors of the process.
func (c *crowd) countFds() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.pid))
	if err == nil {
		c.peakFds.Store(max(c.peakFds.Load(), int64(len(entries))))
	}
}

// check checks the process while the crowd is still connected.
func (c *crowd) check() {
	c.Helper()
	g := NewWithT(c)
	g.Expect(c.runner.allHostsServe(c.Context(), serveTimeout)).To(BeTrue(), "an ordinary statement is answered")
	g.Expect(c.host.processID()).To(Equal(c.pid), "the process lives")
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.pid))
	g.Expect(err).NotTo(HaveOccurred())
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	var peakKb int
	_, err = fmt.Sscan(line, &peakKb)
	g.Expect(err).NotTo(HaveOccurred())
	c.Logf("peak of %d MB resident, %d descriptors", peakKb>>10, c.peakFds.Load())
	g.Expect(peakKb>>10).To(BeNumerically("<", clientMemoryMb), "resident memory in MB")
	g.Expect(c.peakFds.Load()).To(BeNumerically("<", clientMaxFds), "open descriptors")
}

// dial opens a connection of a client with a small receive buffer. It returns nil if the host
// does not accept it.
func (c *crowd) dial(startup string) net.Conn {
	conn, err := net.DialTimeout("tcp", c.host.callerAddress, 5*time.Second)
	if err != nil {
		return nil
	}
	c.Cleanup(func() { conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(conn, startup)
	return conn
}

// session opens a connection of a client that sends a whole startup message.
func (c *crowd) session() net.Conn { return c.dial("STARTUP " + strictDatabase + " crowd\r\n") }

// run runs n clients at once. It returns when each has returned, at the latest after the
// timeout, which ends the reads and writes of the clients.
func (c *crowd) run(n int, timeout time.Duration, open func() net.Conn, client func(net.Conn)) {
	ctx, cancel := context.WithTimeout(c.Context(), timeout)
	defer cancel()
	end, _ := ctx.Deadline()
	var clients sync.WaitGroup
	for range n {
		clients.Go(func() {
			if conn := open(); conn != nil {
				_ = conn.SetDeadline(end)
				client(conn)
			}
		})
	}
	clients.Wait()
}

// sendPieces sends the text in pieces of the given size, with a pause after each.
func sendPieces(conn net.Conn, text string, size int, pause time.Duration) {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// Guards against limits that refuse a single message of the greatest legal length, and its
// answer, although nothing else uses the host.
func TestLongestMessageIsServedInCalm(t *testing.T) {
	g := NewWithT(t)
	c := startCrowd(t)
	conn, err := net.Dial("tcp", c.host.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	head := "QUERY w WRITE big "
	text := strings.Repeat("x", 1<<20-len(head)-len("\r\n"))
	messages := "STARTUP " + strictDatabase + " calm\r\n" + strings.Repeat(head+text+"\r\nQUERY r READ big\r\n", 3) + "TERMINATE\r\n"
	go func() { _, _ = io.WriteString(conn, messages) }()
	answers, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Count(string(answers), "COMPLETE")).To(Equal(6))
	g.Expect(strings.Count(string(answers), "ROW "+text+" ")).To(Equal(3))
	c.check()
}

// Guards against a host whose memory is used up by messages that arrived in part: a host with
// 206 MB and 400 connections that each stopped inside a message of 900 KiB peaked at 514 MB.
func TestClientsThatStopInsideMessage(t *testing.T) {
	c := startCrowd(t)
	text := "QUERY a WRITE x " + strings.Repeat("x", largeText)
	c.run(crowdSize, 10*time.Second, c.session, func(conn net.Conn) { sendPieces(conn, text, len(text), 0) })
	c.check()
}

// Guards against the same fault if the messages arrive in small pieces.
func TestClientsThatStopInsideMessageInPieces(t *testing.T) {
	c := startCrowd(t)
	text := "QUERY a WRITE x " + strings.Repeat("x", largeText)
	c.run(crowdSize, 10*time.Second, c.session, func(conn net.Conn) { sendPieces(conn, text, 8<<10, 10*time.Millisecond) })
	c.check()
}

// Guards against a host whose memory is used up by messages without end.
func TestClientsWithMessagesFarOverTheLimit(t *testing.T) {
	c := startCrowd(t)
	text := "QUERY a WRITE x " + strings.Repeat("x", 8<<20)
	c.run(crowdSize, 10*time.Second, c.session, func(conn net.Conn) { sendPieces(conn, text, 64<<10, 0) })
	c.run(crowdSize, 10*time.Second, func() net.Conn { return c.dial("") }, func(conn net.Conn) { sendPieces(conn, text, 64<<10, 0) })
	c.check()
}

// Guards against a host that reads ahead of the answers that a client does not read.
func TestClientsThatSendStatementsAhead(t *testing.T) {
	c := startCrowd(t)
	small := strings.Repeat("QUERY a READ none\r\n", 200_000)
	c.run(1, 10*time.Second, c.session, func(conn net.Conn) { sendPieces(conn, small, len(small), 0) })
	large := "QUERY a SET v " + strings.Repeat("x", largeText) + "\r\nQUERY a READ " + strings.Repeat("x", largeText) + "\r\n"
	c.run(crowdSize, 10*time.Second, c.session, func(conn net.Conn) {
		for range 10 {
			sendPieces(conn, large, len(large), 0)
		}
	})
	c.check()
}

// Guards against a host that spends a connection and its memory on each client that sends
// next to nothing.
func TestClientsThatSendSlowly(t *testing.T) {
	c := startCrowd(t)
	c.run(crowdSize, 10*time.Second, c.session, func(conn net.Conn) {
		sendPieces(conn, "QUERY a READ "+strings.Repeat("x", 50), 1, 100*time.Millisecond)
	})
	c.run(2*clientMaxFds, 10*time.Second, func() net.Conn { return c.dial("START") }, func(conn net.Conn) {
		sendPieces(conn, "UP "+strictDatabase, 1, 100*time.Millisecond)
	})
	c.check()
}

// Guards against a host whose memory is used up by answers that their clients read slowly or
// not at all.
func TestClientsThatDoNotReadLargeAnswers(t *testing.T) {
	c := startCrowd(t)
	// The item is written by a caller within the limits.
	writer := c.session()
	_, err := io.WriteString(writer, "QUERY w WRITE big "+strings.Repeat("x", largeText)+"\r\nTERMINATE\r\n")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	answer, err := io.ReadAll(writer)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(string(answer)).To(ContainSubstring("COMPLETE"), "a single message within the limits is served")
	reads := strings.Repeat("QUERY a READ big\r\n", 30)
	c.run(crowdSize, 10*time.Second, c.session, func(conn net.Conn) {
		sendPieces(conn, reads, len(reads), 0)
		for piece := make([]byte, 1024); ; time.Sleep(time.Second) {
			if _, err := conn.Read(piece); err != nil {
				return
			}
		}
	})
	c.check()
}

// Guards against clients that take every descriptor, so that the host reaches neither other
// hosts, endpoints and the store nor ordinary callers.
func TestClientsThatExceedTheDescriptors(t *testing.T) {
	c := startCrowd(t)
	c.run(2*clientMaxFds, 10*time.Second, func() net.Conn { return c.dial("") }, func(net.Conn) {})
	c.run(2*clientMaxFds, 10*time.Second, c.session, func(conn net.Conn) { sendPieces(conn, "QUERY a RE", 10, 0) })
	c.check()
}

// Guards against a host whose memory is used up by many small prepared statements and values,
// whose bookkeeping is larger than their text, or by few large ones.
func TestClientsWithManyPreparedStatements(t *testing.T) {
	c := startCrowd(t)
	c.run(10, 30*time.Second, c.session, func(conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for n := 0; n < 100_000; n += 100 {
			var out strings.Builder
			for i := range 100 {
				fmt.Fprintf(&out, "QUERY a PREPARE p%d READ\r\n", n+i)
			}
			if _, err := io.WriteString(conn, out.String()); err != nil {
				return
			}
		}
	})
	c.run(50, 10*time.Second, c.session, func(conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for n := range 10 {
			sendPieces(conn, fmt.Sprintf("QUERY a SET v%d %s\r\n", n, strings.Repeat("x", largeText)), 2<<20, 0)
		}
	})
	c.check()
}
