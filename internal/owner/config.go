// Package owner implements the owner role of a daemon. The owner of a database
// group is the one daemon that holds the group's current term. It alone connects
// to the group's endpoints, schedules statements onto the endpoints' slots, and
// confirms writes once a majority of the endpoints has received them.
package owner

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// Config configures an Owner.
type Config struct {
	// Incarnation identifies this run of the daemon.
	Incarnation uint64
	// AvailabilityZone is the availability zone of this host.
	AvailabilityZone string
	// CrossZoneRTT is the round-trip time to an endpoint in another availability zone.
	CrossZoneRTT time.Duration
	Controller   control.Controller
	GroupControl platform.GroupControl
	Metrics      *metrics.Registry
	Log          zerolog.Logger
	// NewScheduler returns the scheduler of one group.
	NewScheduler func() admission.Scheduler
	// PrimaryOnly sends all reads to the primary. Measurements use it as a baseline.
	PrimaryOnly bool
}

const (
	// maxKeptAnswerBytes is the size of the largest answer that is kept after it was
	// sent, for an entry whose stream broke before the answer arrived.
	maxKeptAnswerBytes = 32 << 10
	// answerRetention is how long answers are kept after they were sent.
	answerRetention = 10 * time.Second
	// confirmTimeout is how long a write that has run waits for its confirmation
	// before its outcome is reported as unknown. It is long enough for a failover,
	// which takes at most 9 s.
	confirmTimeout = 9 * time.Second
	// readConfirmTimeout is how long a read that has run waits for its confirmation.
	// It is shorter than confirmTimeout, since a read can be repeated elsewhere.
	readConfirmTimeout = 2 * time.Second
	// idleTransactionTimeout is how long an open transaction may be idle before it is
	// rolled back.
	idleTransactionTimeout = 60 * time.Second
	// streamThreshold is the size above which an answer is sent while the batch still
	// runs, in bytes.
	streamThreshold = 256 << 10
	// statusTimeout is the timeout of one status poll of an endpoint.
	statusTimeout = 300 * time.Millisecond
	// maxAttempts is how often the owner itself tries a request before it reports
	// it to the entry as not run.
	maxAttempts = 3
	// maxMeanRunTimes is the largest number of statements, by fingerprint, whose mean
	// run time is kept.
	maxMeanRunTimes = 4096
	// meanRunTimeDivisor sets the weight of the newest run in the exponential moving
	// average of a statement's run time to 1/meanRunTimeDivisor.
	meanRunTimeDivisor = 8
	// expireInterval is how often expired outcomes and floors are removed.
	expireInterval = time.Second
)
