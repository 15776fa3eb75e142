// Package owner is the owner role of a daemon: it serves the database groups
// whose term the daemon holds. It alone holds connections to their endpoints,
// admits statements into slots, and confirms writes.
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
	// AvailabilityZone is the daemon's zone.
	AvailabilityZone string
	// CrossZoneRTT is the round trip to an endpoint in another zone.
	CrossZoneRTT time.Duration
	Controller   control.Controller
	GroupControl platform.GroupControl
	Metrics      *metrics.Registry
	Log          zerolog.Logger
	// NewScheduler makes the admission policy of one group.
	NewScheduler func() admission.Scheduler
	// PrimaryOnly sends all reads to the primary; the baseline of measurements.
	PrimaryOnly bool
}

const (
	// answerKeepBytes is the largest answer kept for an entry that lost it.
	answerKeepBytes = 32 << 10
	// answerRetention is how long finished answers are kept.
	answerRetention = 10 * time.Second
	// confirmTimeout is how long a finished batch waits for its confirmation
	// before its outcome is reported as unknown. It covers a change of primary,
	// which is over within 9 s.
	confirmTimeout = 9 * time.Second
	// readHoldTimeout is how long a finished read waits for its confirmation. It
	// has no effect, so it may be repeated elsewhere.
	readHoldTimeout = 2 * time.Second
	// idleTransactionTimeout ends a transaction in which the caller is silent.
	idleTransactionTimeout = 60 * time.Second
	// streamThreshold is the size of an answer above which it is sent before the
	// batch has ended.
	streamThreshold = 256 << 10
	// statusTimeout bounds one status poll of an endpoint.
	statusTimeout = 300 * time.Millisecond
	// maxAttempts bounds how often the owner itself repeats a request that did
	// not run.
	maxAttempts = 3
	// maxUsual bounds the statements whose mean run time is kept.
	maxUsual = 4096
	// usualWeight is the divisor that the newest run has in the mean run time.
	usualWeight = 8
	// expireInterval is how often outcomes and floors are cleaned up.
	expireInterval = time.Second
)
