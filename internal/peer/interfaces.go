// Package peer implements the protocol between daemons, client and server side:
// the exchange streams, which carry requests and their answers, and unary
// calls. The entry is the daemon that a caller is connected to; the owner is
// the daemon that runs the requests of a pool.
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

// requestID is a request ID that can be used as a map key.
type requestID [requestIDSize]byte

// AnswerWriter receives the answer of one request on the owner's side.
type AnswerWriter interface {
	// Write appends backend protocol bytes to the answer. Full chunks are sent at
	// once, the rest with Finish. Write blocks while the request has no credit,
	// and returns an error once the entry's stream has ended.
	Write(b []byte) (int, error)
	// Finish sends the end of the answer. It fills in the request ID, the last
	// chunk and the last flag. It must be called exactly once.
	Finish(end *peerv1.Answer)
}

// RequestHandler runs requests for other daemons. The owner role implements it.
type RequestHandler interface {
	// Serve runs one request. It is called on a new goroutine. ctx ends when the
	// entry's stream breaks or the caller cancels the request.
	Serve(ctx context.Context, req *peerv1.Request, w AnswerWriter)
	// CloseTransaction rolls back a transaction whose caller has disconnected.
	CloseTransaction(id []byte)
	// QueryOutcome returns the outcome of a request.
	QueryOutcome(req *peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse
}

// ControlHandler answers the control calls of other daemons. The control
// goroutine implements it.
type ControlHandler interface {
	PreVote(ctx context.Context, req *peerv1.PreVoteRequest) (*peerv1.PreVoteResponse, error)
	Heartbeat(ctx context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error)
	Handover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error)
	Locate(ctx context.Context, req *peerv1.LocateRequest) (*peerv1.LocateResponse, error)
	FetchManifest(ctx context.Context, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error)
	// ObserveGeneration is called with each manifest generation that another
	// daemon names.
	ObserveGeneration(address string, generation uint64)
}

// Exchanger is the entry's side of the exchange streams.
type Exchanger interface {
	// Do sends the request to the owner at address and returns the end of the
	// answer. It calls sink for each chunk, in order and on the goroutine that
	// called Do.
	//
	// Do returns a *StreamError if the stream broke before the end arrived, the
	// sink's error if the sink failed, and an error that wraps ctx.Err() if ctx
	// ended; in the last two cases it cancels the request. The outcome of the
	// request is unknown unless the error says that the request was not sent.
	Do(ctx context.Context, address string, req *peerv1.Request, sink func(chunk []byte) error) (*peerv1.Answer, error)
	// Cancel asks the owner to cancel a running request. Do still waits for the
	// end of the answer.
	Cancel(address string, requestID []byte)
	// CloseTransaction asks the owner to roll back an open transaction.
	CloseTransaction(address string, transactionID []byte)
	// QueryOutcome asks an owner for the outcome of a request that was sent to it.
	QueryOutcome(ctx context.Context, address string, req *peerv1.QueryOutcomeRequest) (*peerv1.QueryOutcomeResponse, error)
	// Locate asks a daemon for the owner of a pool.
	Locate(ctx context.Context, address, pool string) (*peerv1.Location, error)
}
