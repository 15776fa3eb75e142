package soak

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a proxy that loses bytes which a kernel still delivers after an orderly close,
// or that delivers bytes whose sender has reset the connection or given it up.
func TestHeldBytesAreLostWithResetOrTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		linger       int
		intermediary bool
		cutFor       time.Duration
		delivered    string
	}{
		"orderly close":       {-1, false, 50 * time.Millisecond, "statement"},
		"reset":               {0, false, 50 * time.Millisecond, ""},
		"timeout":             {-1, false, hostUserTimeout + 100*time.Millisecond, ""},
		"intermediary, reset": {0, true, 50 * time.Millisecond, "statement"},
	} {
		g := NewWithT(t)
		l, err := listen()
		g.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		r := newRunner(Config{pathsKeepBytes: test.intermediary})
		p, err := r.startProxy("endpoint", l.Addr().String(), hostUserTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		defer p.close()
		client, err := net.Dial("tcp", p.address)
		g.Expect(err).NotTo(HaveOccurred())
		server, err := l.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		r.paths.setUnreachable("endpoint", true)
		if test.intermediary {
			time.Sleep(2 * ProofGrace)
		}
		_, err = io.WriteString(client, "statement")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(client.(*net.TCPConn).SetLinger(test.linger)).To(Succeed())
		client.Close()
		time.AfterFunc(test.cutFor, r.paths.restore)
		got, err := io.ReadAll(server)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(string(got)).To(Equal(test.delivered), name)
	}
}
