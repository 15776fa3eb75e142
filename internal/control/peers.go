package control

import (
	"context"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// Peers sends the control messages to other daemons by their peer address.
type Peers interface {
	PreVote(ctx context.Context, address string, req *peerv1.PreVoteRequest) (*peerv1.PreVoteResponse, error)
	Heartbeat(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error)
	Handover(ctx context.Context, address string, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error)
}
