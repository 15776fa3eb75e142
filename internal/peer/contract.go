// Package peer carries messages between daemons: the exchange stream and the
// unary calls, on both sides.
package peer

import (
	"context"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// ChunkSize is the largest chunk of an answer, in bytes.
const ChunkSize = 32 << 10

// CreditWindow is the number of answer bytes of one request that the owner may
// send beyond what the entry's sink has consumed.
const CreditWindow = 4 * ChunkSize

// requestIDSize is the length of a request ID, in bytes.
const requestIDSize = 16

// requestID is a request ID in a form that can be a map key.
type requestID [requestIDSize]byte

// AnswerWriter receives the answer of one request on the owner's side.
type AnswerWriter interface {
	// Write adds backend protocol bytes to the answer. Full chunks are sent at
	// once, the rest with Finish. It blocks while the request has no credit and
	// returns an error once the entry has gone.
	Write(b []byte) (int, error)
	// Finish sends the end of the answer; the request ID, chunk and last flag
	// are filled in. It is called exactly once.
	Finish(end *peerv1.Answer)
}

// RequestHandler is implemented by the owner role.
type RequestHandler interface {
	// Serve runs one request. ctx ends when the entry's stream breaks or the
	// caller cancels. Serve is called on a goroutine of its own.
	Serve(ctx context.Context, req *peerv1.Request, w AnswerWriter)
	// CloseTransaction rolls back a transaction whose caller has gone.
	CloseTransaction(id []byte)
	// QueryOutcome answers what became of a request.
	QueryOutcome(req *peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse
}

// ControlHandler is implemented by the control goroutine.
type ControlHandler interface {
	PreVote(ctx context.Context, req *peerv1.PreVoteRequest) (*peerv1.PreVoteResponse, error)
	Heartbeat(ctx context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error)
	Handover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error)
	Locate(ctx context.Context, req *peerv1.LocateRequest) (*peerv1.LocateResponse, error)
	FetchManifest(ctx context.Context, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error)
	// ObserveGeneration is called with the manifest generation of each message
	// of another daemon.
	ObserveGeneration(address string, generation uint64)
}

// Exchanger is the entry's side of the exchange streams.
type Exchanger interface {
	// Do sends the request to the owner at address. sink is called in order, from
	// the goroutine that called Do, for each chunk; Do returns the end of the
	// answer. It returns a *StreamError if the stream broke before the end
	// arrived, the sink's error if the sink failed, and an error that wraps
	// ctx.Err() if ctx ended; in the last two cases a Cancel is sent. Unless the
	// error says that the request was never sent, its outcome is not known.
	Do(ctx context.Context, address string, req *peerv1.Request, sink func(chunk []byte) error) (*peerv1.Answer, error)
	// Cancel asks the owner to cancel a running request. Do still waits for the
	// end of the answer.
	Cancel(address string, requestID []byte)
	// CloseTransaction asks the owner to roll back an open transaction.
	CloseTransaction(address string, transactionID []byte)
	// QueryOutcome asks the owner that a request was addressed to.
	QueryOutcome(ctx context.Context, address string, req *peerv1.QueryOutcomeRequest) (*peerv1.QueryOutcomeResponse, error)
	// Locate asks a daemon who owns a pool.
	Locate(ctx context.Context, address, pool string) (*peerv1.Location, error)
}
