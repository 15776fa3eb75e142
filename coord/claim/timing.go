package claim

import "time"

const (
	// HeartbeatTimeout is the time without a heartbeat after which a candidate
	// suspects the owner: three heartbeats of 200 ms.
	HeartbeatTimeout = 600 * time.Millisecond
	// RankDelay separates the claims of candidates of neighbouring ranks. It
	// exceeds the duration of an undisturbed claim (a few round trips).
	RankDelay = 150 * time.Millisecond
	// IsolatedDelay is the extra wait of a candidate that reached no other
	// daemon in its pre-vote: the candidate itself may be the one cut off.
	IsolatedDelay = 2 * time.Second
	// RecheckDelay is the wait after a pre-vote found the owner alive.
	RecheckDelay = 300 * time.Millisecond
	// CallTimeout is the time after which the caller of Step reports a call to an
	// endpoint or a peer as failed.
	CallTimeout = 300 * time.Millisecond
	// LostCall is the time after which the answer of a call is no longer awaited,
	// in case its failure was never reported.
	LostCall = 2 * CallTimeout
	// AttemptTimeout bounds the survey and the advance of one term; it leaves
	// room for three calls to a slow endpoint.
	AttemptTimeout = 900 * time.Millisecond
	// PollInterval is the time between two status polls of an endpoint. Five
	// polls renew the lease within its duration.
	PollInterval = 200 * time.Millisecond
	// FastPollInterval replaces PollInterval while a change of primary waits for
	// received positions.
	FastPollInterval = 10 * time.Millisecond
	// RetryInterval is the time between repetitions of a failed call.
	RetryInterval = 50 * time.Millisecond
	// PrimaryMissed is the time without an answer after which the owner replaces
	// the primary: three polls.
	PrimaryMissed = 600 * time.Millisecond
	// PrimaryGrace is how long a claimant with a majority waits for the answer of
	// a primary that is not known to have failed, so that it is kept.
	PrimaryGrace = 50 * time.Millisecond
	// MarkerPatience is how long a claimant polls at FastPollInterval for the
	// marker's receipt. Replicas that need longer are far behind.
	MarkerPatience = 3 * time.Second
	// Stall is the gap between two steps above which all evidence is discarded.
	Stall = 300 * time.Millisecond
	// BackoffMin is the mean wait, beyond HeartbeatTimeout, after the first lost
	// claim. It exceeds the duration of an undisturbed claim.
	BackoffMin = 200 * time.Millisecond
	// BackoffMax bounds the mean wait after further lost claims.
	BackoffMax = 3200 * time.Millisecond
	// SwitchoverHold is the longest hold of new writes before the primary of a
	// planned switchover is fenced even if transactions are still open.
	SwitchoverHold = time.Second
	// SwitchoverPause is the wait after failed switchovers, during which writes
	// are served.
	SwitchoverPause = 5 * time.Second
	// HandoverRetry is the wait before a group is offered to the next candidate.
	HandoverRetry = 50 * time.Millisecond
)

// switchoverAttempts is the number of terms that one planned switchover may use
// before it pauses.
const switchoverAttempts = 3

// promoteAttempts is the number of consecutive failed promotions after which a
// claimant backs off.
const promoteAttempts = 2
