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

// countingPeer is a host that serves calls and counts connections and bytes.
type countingPeer struct {
	address string
	// connections counts the accepted connections; bytes counts the bytes in both
	// directions.
	connections, bytes atomic.Int64
}

// startPeer starts a host that knows no endpoints.
func startPeer(t *testing.T) *countingPeer {
	t.Helper()
	gw := gateway.New(gateway.Config{Host: "h1", Metrics: metrics.NewRegistry(), Log: zerolog.Nop()})
	path, handler := (&fleet.Server{Gateway: gw}).Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	p := &countingPeer{}
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = fleet.Protocols()
	server.Listener = &countingListener{Listener: server.Listener, peer: p}
	server.Start()
	t.Cleanup(server.Close)
	p.address = strings.TrimPrefix(server.URL, "http://")
	return p
}

// countingListener counts accepted connections and the bytes on them.
type countingListener struct {
	net.Listener
	peer *countingPeer
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

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	peer *countingPeer
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

// readRequest returns a relayed read of typical size.
func readRequest() gateway.RelayRequest {
	return gateway.RelayRequest{Request: gateway.Request{Statement: session.Statement{ID: "5c0e7a21d94b36f8", Op: session.OpRead, Text: "READ 1a4"}}}
}

// Guards against a burst of relayed statements that opens a connection for each of
// them, and against headers that are larger than the statements. Together these were
// most of the traffic between availability zones on svfb-trestle-grown.
func TestRelayedStatementsShareAConnection(t *testing.T) {
	g := NewWithT(t)
	p := startPeer(t)
	c := fleet.NewClient()
	run := func() {
		relay := c.Relay(p.address, gateway.Endpoint{ID: "i-7f3a91c2", Group: "coop-records"})
		_, err := relay.Run(time.Now().Add(5*time.Second), readRequest())
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
	// Request and answer together have about 200 bytes.
	g.Expect(p.bytes.Load() - before).To(BeNumerically("<", burst*400))
}

// Guards against a dead connection on which all later calls to the host wait. It must
// be replaced within the duration of a permission to use primaries.
func TestDeadConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	p := startPeer(t)
	proxy := startProxy(t, p.address)
	c := fleet.NewClient()
	call := func() error {
		relay := c.Relay(proxy.address, gateway.Endpoint{ID: "i-7f3a91c2", Group: "coop-records"})
		_, err := relay.Run(time.Now().Add(200*time.Millisecond), readRequest())
		return err
	}
	g.Expect(call()).To(Succeed())
	proxy.blackhole()
	began := time.Now()
	g.Eventually(call, 5*time.Second, 10*time.Millisecond).Should(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
}

// Guards against a slow host that gets a new connection for each call that times out: the
// connections cost it processor time and make it slower (seen on svfb-trestle-grown
// trouble-1, where up to 1,187 descriptors were open in one process).
func TestSlowHostKeepsItsConnection(t *testing.T) {
	g := NewWithT(t)
	const slow = 250 * time.Millisecond
	p := &countingPeer{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(slow)
		w.Header().Set("Content-Type", "application/proto")
	}))
	server.Config.Protocols = fleet.Protocols()
	server.Listener = &countingListener{Listener: server.Listener, peer: p}
	server.Start()
	t.Cleanup(server.Close)
	c := fleet.NewClient()
	call := func(timeout time.Duration) error {
		relay := c.Relay(strings.TrimPrefix(server.URL, "http://"), gateway.Endpoint{ID: "e", Group: "g"})
		_, err := relay.Run(time.Now().Add(timeout), readRequest())
		return err
	}
	for range 4 {
		// Another call is answered while the impatient one waits.
		var wg sync.WaitGroup
		wg.Go(func() { g.Expect(call(5 * time.Second)).To(Succeed()) })
		time.Sleep(slow / 2)
		g.Expect(call(slow * 9 / 10)).NotTo(Succeed())
		wg.Wait()
	}
	g.Expect(p.connections.Load()).To(Equal(int64(1)))

	// While nothing is answered, connections are opened ever more rarely.
	for range 20 {
		g.Expect(call(100 * time.Millisecond)).NotTo(Succeed())
	}
	g.Expect(p.connections.Load()).To(BeNumerically("<=", 4))
}

// proxy forwards connections until they are blackholed.
type proxy struct {
	address string
	mu      sync.Mutex
	// open holds one flag per connection; true means that the connection is blackholed.
	open []*atomic.Bool
}

// startProxy starts a proxy that forwards to the given address.
func startProxy(t *testing.T, target string) *proxy {
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
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				conn.Close()
				continue
			}
			blackholed := &atomic.Bool{}
			p.mu.Lock()
			p.open = append(p.open, blackholed)
			p.mu.Unlock()
			go forward(conn, upstream, blackholed)
			go forward(upstream, conn, blackholed)
		}
	}()
	return p
}

// blackhole makes the open connections drop all data from now on.
func (p *proxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, blackholed := range p.open {
		blackholed.Store(true)
	}
}

// forward copies data until the connection ends. It drops data while blackholed is true.
func forward(to, from net.Conn, blackholed *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !blackholed.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !blackholed.Load() {
				to.Close()
			}
			return
		}
	}
}
