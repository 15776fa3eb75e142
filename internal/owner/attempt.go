package owner

import "github.com/beryltrestle/beryltrestle/internal/metrics"

// attempt is the result of running a request once.
type attempt struct {
	// refusal is set if the batch was not answered.
	refusal *refusal
	// again is set if the batch did not run and may be repeated at once.
	again  metrics.Name
	status byte
}

func refused(r *refusal) *attempt { return &attempt{refusal: r} }
