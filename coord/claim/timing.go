package claim

import "time"

const (
	// HeartbeatTimeout is the time without a heartbeat after which a candidate suspects
	// the owner. It is the time of three heartbeats, which are sent every 200 ms.
	HeartbeatTimeout = 600 * time.Millisecond
	// RankDelay is how much later each candidate claims than the one ranked before it.
	// It is longer than an undisturbed claim, which takes a few round trips.
	RankDelay = 150 * time.Millisecond
	// IsolatedDelay is the extra wait of a candidate whose pre-vote no other daemon
	// answers: the candidate itself may be cut off.
	IsolatedDelay = 2 * time.Second
	// RecheckDelay is the wait after a pre-vote that found the owner alive or that no
	// peer answered.
	RecheckDelay = 300 * time.Millisecond
	// CallTimeout is the time after which the caller of Step must report a call to an
	// endpoint or a peer as failed.
	CallTimeout = 300 * time.Millisecond
	// CallExpiry is the time after which a call may be repeated although neither its
	// answer nor its failure was reported.
	CallExpiry = 2 * CallTimeout
	// AttemptTimeout bounds the survey, and the advance to one term. It allows three
	// calls, one after the other, to a slow endpoint.
	AttemptTimeout = 900 * time.Millisecond
	// PollInterval is the time between two status polls of an endpoint. The lease is
	// renewed five times within its duration.
	PollInterval = 200 * time.Millisecond
	// FastPollInterval replaces PollInterval while a claim, handover or switchover waits until
	// endpoints have received a position.
	FastPollInterval = 10 * time.Millisecond
	// RetryInterval is the time between repetitions of a failed call.
	RetryInterval = 50 * time.Millisecond
	// PrimaryTimeout is the time without an answer after which the owner replaces the
	// primary. It is the time of three polls.
	PrimaryTimeout = 600 * time.Millisecond
	// PrimaryGrace is how long a claimant with a majority waits for the answer of a
	// primary that is not known to have failed, in order to keep it as the primary.
	PrimaryGrace = 50 * time.Millisecond
	// MarkerFastPollTime is how long a claimant polls at FastPollInterval until a
	// majority has received the marker. Replicas that need longer are far behind.
	MarkerFastPollTime = 3 * time.Second
	// StallThreshold is the time between two steps above which the caller counts as
	// stalled, so that heartbeats and answers missed until then no longer count.
	StallThreshold = 300 * time.Millisecond
	// MinBackoff is the mean wait, in addition to HeartbeatTimeout, after the first lost
	// claim. It is longer than an undisturbed claim.
	MinBackoff = 200 * time.Millisecond
	// MaxBackoff bounds the mean wait, which doubles with each further lost claim.
	MaxBackoff = 3200 * time.Millisecond
	// MaxWriteHold is the longest time that a planned switchover holds new writes before
	// it fences the primary, even if transactions are still open.
	MaxWriteHold = time.Second
	// SwitchoverPause is the pause after maxSwitchoverTerms failed attempts of a planned
	// switchover. Writes are served during the pause.
	SwitchoverPause = 5 * time.Second
	// HandoverRetry is the shortest time between two offers of a group.
	HandoverRetry = 50 * time.Millisecond
)

// maxSwitchoverTerms is the number of terms that a planned switchover may claim before
// it pauses.
const maxSwitchoverTerms = 3

// maxPromoteFailures is the number of consecutive failed promotions at which a
// claimant backs off.
const maxPromoteFailures = 2
