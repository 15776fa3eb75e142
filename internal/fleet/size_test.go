package fleet

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/budget"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1/fleetv1connect"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const longText = 900_000

// echoHost answers each relayed statement with its text.
type echoHost struct {
	fleetv1connect.UnimplementedFleetServiceHandler
	calls int
}

func (h *echoHost) Relay(_ context.Context, r *connect.Request[fleetv1.RelayRequest]) (*connect.Response[fleetv1.RelayResponse], error) {
	h.calls++
	response := connect.NewResponse(&fleetv1.RelayResponse{Rows: []string{r.Msg.GetText()}})
	setSize(response.Header(), len(r.Msg.GetText()))
	return response, nil
}

// startEcho starts a host whose calls are charged to a budget of the given bytes.
func startEcho(t *testing.T, bytes int64) (*echoHost, string) {
	t.Helper()
	host := &echoHost{}
	_, handler := fleetv1connect.NewFleetServiceHandler(host, connect.WithReadMaxBytes(maxMessageBytes))
	server := httptest.NewUnstartedServer(chargingHandler(budget.New(bytes, 0, metrics.NewRegistry()), handler))
	server.Config.Protocols = Protocols()
	server.Start()
	t.Cleanup(server.Close)
	return host, strings.TrimPrefix(server.URL, "http://")
}

// relayLong relays a long read that is charged to a budget of the given bytes.
func relayLong(t *testing.T, address string, bytes int64) gateway.Reply {
	t.Helper()
	g := NewWithT(t)
	st := session.Statement{ID: "q", Op: session.OpRead, Text: strings.Repeat("x", longText)}
	account := budget.New(bytes, 0, metrics.NewRegistry()).Open()
	reply, err := NewClient().Relay(address, gateway.Endpoint{ID: "e"}).
		Run(time.Now().Add(10*time.Second), gateway.RelayRequest{Request: gateway.Request{Statement: st, Account: account}})
	g.Expect(err).NotTo(HaveOccurred(), "a host that lacks memory does not count as failed")
	return reply
}

// Guards against relayed statements and answers that take memory of the relay host, or of the
// host of the caller, before any account is charged for them.
func TestRelayedMessagesArePaidBeforeTheyAreRead(t *testing.T) {
	g := NewWithT(t)
	host, address := startEcho(t, 1000)
	reply := relayLong(t, address, 1000)
	g.Expect(reply.Dropped && reply.Code == gateway.CodeBusy).To(BeTrue(), "not sent")
	reply = relayLong(t, address, 100*longText)
	g.Expect(reply.Dropped && reply.Code == gateway.CodeBusy).To(BeTrue(), "not read")
	g.Expect(host.calls).To(BeZero())

	host, address = startEcho(t, 100*longText)
	reply = relayLong(t, address, 3*longText)
	g.Expect(reply.Dropped).To(BeTrue(), "answer not read")
	g.Expect(reply.Code).To(Equal(gateway.CodeNone), "the statement ran")
	g.Expect(host.calls).To(Equal(1))
	reply = relayLong(t, address, 100*longText)
	g.Expect(reply.Dropped).To(BeFalse())
	g.Expect(reply.Rows).To(HaveLen(1))
	g.Expect(reply.Rows[0]).To(HaveLen(longText))
}

// Guards against a message of another host that takes all memory, for example because it is
// damaged or was compressed from very much.
func TestMessagesBetweenHostsAreLimited(t *testing.T) {
	g := NewWithT(t)
	path, handler := (&Server{}).Handler()
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	for range maxMessageBytes>>20 + 1 {
		_, err := w.Write(make([]byte, 1<<20))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(w.Close()).To(Succeed())
	r := httptest.NewRequest(http.MethodPost, path+"Relay", &body)
	r.Header.Set("Content-Type", "application/proto")
	r.Header.Set("Content-Encoding", "gzip")
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, r)
	g.Expect(answer.Code).To(Equal(http.StatusTooManyRequests))
	g.Expect(answer.Body.String()).To(ContainSubstring("resource_exhausted"))
}
