package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1/peerv1connect"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Limits of the server side.
const (
	readHeaderTimeout = 2 * time.Second
	// maxConcurrentStreams is the limit of one connection, which carries one
	// exchange stream and unary calls.
	maxConcurrentStreams = 1000
)

// Service serves PeerService to other daemons.
type Service struct {
	cfg           ServiceConfig
	inFlight      *inFlightTracker
	http          *http.Server
	cancelStreams context.CancelFunc
}

var _ peerv1connect.PeerServiceHandler = (*Service)(nil)

// NewService returns a service that is not listening yet.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Generation == nil {
		cfg.Generation = func() uint64 { return 0 }
	}
	base, cancel := context.WithCancel(context.Background())
	s := &Service{cfg: cfg, inFlight: newInFlightTracker(), cancelStreams: cancel}
	h2 := http2Config(serverPingAfter, serverPingTimeout)
	h2.MaxConcurrentStreams = maxConcurrentStreams
	s.http = &http.Server{
		Handler:           s.Handler(),
		TLSConfig:         cfg.TLS.Clone(),
		ReadHeaderTimeout: readHeaderTimeout,
		Protocols:         protocols(),
		HTTP2:             h2,
		BaseContext:       func(net.Listener) context.Context { return base },
		ConnContext:       setKeepAliveIdle,
	}
	return s
}

// setKeepAliveIdle sets the interval of TCP keepalives to keepAliveIdle.
func setKeepAliveIdle(ctx context.Context, conn net.Conn) context.Context {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle})
	}
	return ctx
}

// Handler returns the HTTP handler of PeerService.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(s,
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
	))
	return mux
}

// Serve accepts connections until Drain or Close, and then returns nil.
func (s *Service) Serve(ln net.Listener) error {
	var err error
	if s.cfg.TLS != nil {
		err = s.http.ServeTLS(ln, "", "")
	} else {
		err = s.http.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain refuses new requests as not run, waits for running requests and open
// transactions, ends all streams and stops listening. If ctx ends first, Drain
// ends the remaining requests and returns an error.
func (s *Service) Drain(ctx context.Context) error {
	err := s.inFlight.drain(ctx)
	s.cancelStreams()
	if stop := s.http.Shutdown(ctx); stop != nil {
		err = errors.CombineErrors(err, stop)
	}
	s.Close()
	return err
}

// Close stops listening and ends all streams, with their requests, at once.
func (s *Service) Close() {
	s.cancelStreams()
	_ = s.http.Close()
}

// Exchange implements PeerServiceHandler.
func (s *Service) Exchange(ctx context.Context, conn *connect.BidiStream[peerv1.ExchangeRequest, peerv1.ExchangeResponse]) error {
	address := conn.RequestHeader().Get(addressHeader)
	if address == "" {
		address = conn.Peer().Addr
	}
	return newServerStream(ctx, s.cfg, s.inFlight, conn, address).run()
}

// PreVote implements PeerServiceHandler.
func (s *Service) PreVote(ctx context.Context, req *connect.Request[peerv1.PreVoteRequest]) (*connect.Response[peerv1.PreVoteResponse], error) {
	return respond(s.cfg.ControlHandler.PreVote(ctx, req.Msg))
}

// QueryOutcome implements PeerServiceHandler.
func (s *Service) QueryOutcome(_ context.Context, req *connect.Request[peerv1.QueryOutcomeRequest]) (*connect.Response[peerv1.QueryOutcomeResponse], error) {
	return respond(s.cfg.RequestHandler.QueryOutcome(req.Msg), nil)
}

// FetchManifest implements PeerServiceHandler.
func (s *Service) FetchManifest(ctx context.Context, req *connect.Request[peerv1.FetchManifestRequest]) (*connect.Response[peerv1.FetchManifestResponse], error) {
	return respond(s.cfg.ControlHandler.FetchManifest(ctx, req.Msg))
}

// Heartbeat implements PeerServiceHandler. ControlHandler.Heartbeat observes
// the generation, which is part of the message.
func (s *Service) Heartbeat(ctx context.Context, req *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return respond(s.cfg.ControlHandler.Heartbeat(ctx, req.Msg))
}

// Handover implements PeerServiceHandler.
func (s *Service) Handover(ctx context.Context, req *connect.Request[peerv1.HandoverRequest]) (*connect.Response[peerv1.HandoverResponse], error) {
	return respond(s.cfg.ControlHandler.Handover(ctx, req.Msg))
}

// Locate implements PeerServiceHandler.
func (s *Service) Locate(ctx context.Context, req *connect.Request[peerv1.LocateRequest]) (*connect.Response[peerv1.LocateResponse], error) {
	return respond(s.cfg.ControlHandler.Locate(ctx, req.Msg))
}

// respond wraps the result of a call.
func respond[T any](msg *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(msg), nil
}
