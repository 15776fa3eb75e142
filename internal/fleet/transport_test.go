package fleet_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/fleet"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// peer is a host that serves the calls of others and counts what they cost.
type peer struct {
	address string
	// connections and bytes count what clients opened and sent, both directions.
	connections, bytes atomic.Int64
}

// startPeer starts a host without endpoints.
func startPeer(t *testing.T) *peer {
	t.Helper()
	gw := gateway.New(gateway.Config{Host: "h1", Metrics: metrics.NewRegistry(), Log: zerolog.Nop()})
	path, handler := (&fleet.Server{Gateway: gw}).Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	p := &peer{}
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = fleet.Protocols()
	server.Listener = &countingListener{Listener: server.Listener, peer: p}
	server.Start()
	t.Cleanup(server.Close)
	p.address = strings.TrimPrefix(server.URL, "http://")
	return p
}

// countingListener counts connections and bytes.
type countingListener struct {
	net.Listener
	peer *peer
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.peer.connections.Add(1)
		conn = &countingConn{Conn: conn, peer: l.peer}
	}
	return conn, err
}

// countingConn counts bytes in both directions.
type countingConn struct {
	net.Conn
	peer *peer
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.peer.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.peer.bytes.Add(int64(n))
	return n, err
}

// readWork is a relayed read of ordinary size.
func readWork() gateway.RelayRequest {
	return gateway.RelayRequest{Request: gateway.Request{Statement: session.Statement{ID: "5c0e7a21d94b36f8", Op: session.OpRead, Text: "READ 1a4"}}}
}

// Guards against a connection for each of a burst of relayed statements, and against
// headers that are larger than the statements: together they were most of the bytes
// between the zones of svfb-trestle-grown.
func TestRelaysShareAConnectionAndSendFewBytes(t *testing.T) {
	g := NewWithT(t)
	p := startPeer(t)
	c := fleet.NewClient()
	run := func() {
		relay := c.Relay(p.address, gateway.Endpoint{ID: "i-7f3a91c2", Group: "coop-records"})
		_, err := relay.Run(time.Now().Add(5*time.Second), readWork())
		g.Expect(err).NotTo(HaveOccurred())
	}
	run()
	before := p.bytes.Load()
	const burst = 12
	var wg sync.WaitGroup
	for range burst {
		wg.Go(run)
	}
	wg.Wait()
	g.Expect(p.connections.Load()).To(Equal(int64(1)))
	// Request and answer hold about 200 bytes.
	g.Expect(p.bytes.Load() - before).To(BeNumerically("<", burst*400))
}

// Guards against a connection that goes silent and on which every later call to the
// host would wait: a new one is in use within the time of a permission.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	p := startPeer(t)
	proxy := startProxy(t, p.address)
	c := fleet.NewClient()
	call := func() error {
		relay := c.Relay(proxy.address, gateway.Endpoint{ID: "i-7f3a91c2", Group: "coop-records"})
		_, err := relay.Run(time.Now().Add(200*time.Millisecond), readWork())
		return err
	}
	g.Expect(call()).To(Succeed())
	proxy.silence()
	began := time.Now()
	g.Eventually(call, 5*time.Second, 10*time.Millisecond).Should(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
}

// proxy forwards connections until they are silenced.
type proxy struct {
	address string
	mu      sync.Mutex
	// open holds a flag for each connection that is set once it is silent.
	open []*atomic.Bool
}

// startProxy starts a proxy before the address.
func startProxy(t *testing.T, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	p := &proxy{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			back, err := net.Dial("tcp", to)
			if err != nil {
				conn.Close()
				continue
			}
			silent := &atomic.Bool{}
			p.mu.Lock()
			p.open = append(p.open, silent)
			p.mu.Unlock()
			go forward(conn, back, silent)
			go forward(back, conn, silent)
		}
	}()
	return p
}

// silence makes the open connections swallow everything.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.open {
		silent.Store(true)
	}
}

// forward copies until the connection ends; what arrives while it is silent is lost.
func forward(to, from net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !silent.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !silent.Load() {
				to.Close()
			}
			return
		}
	}
}
