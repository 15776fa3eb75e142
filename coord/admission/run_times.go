package admission

import "time"

const (
	// latestRunWeight is the weight of the latest run in the moving average of a
	// fingerprint.
	latestRunWeight = 0.2
	// latestShortRunWeight is the weight of the latest short run in the moving average
	// over all fingerprints.
	latestShortRunWeight = 0.05
	// maxFingerprints bounds the fingerprints that are remembered for one group, at
	// about 100 bytes each.
	maxFingerprints = 4096
)

// runTimeEstimator estimates run times from the observed runs of each fingerprint. It
// remembers the most recently used fingerprints in two generations: when the recent
// one is full, it replaces the previous one, whose entries are forgotten.
type runTimeEstimator struct {
	longThreshold    time.Duration
	longDefault      time.Duration
	shortMean        float64
	recent, previous map[uint64]*runTime
}

// runTime describes the observed runs of one fingerprint; mean is a moving average in
// nanoseconds.
type runTime struct {
	mean float64
	runs uint64
	long bool
}

func newRunTimeEstimator(cfg Config) *runTimeEstimator {
	return &runTimeEstimator{
		longThreshold: cfg.LongThreshold,
		longDefault:   cfg.LongExpected,
		shortMean:     float64(cfg.ShortExpected),
		recent:        make(map[uint64]*runTime),
	}
}

// estimate returns the expected run time and the class of the work.
func (e *runTimeEstimator) estimate(w Work) (time.Duration, class) {
	r := e.find(w.Fingerprint)
	isLong := w.LongRunning || r != nil && r.long
	switch {
	case r != nil && r.runs > 0:
		return time.Duration(r.mean), classOf(isLong)
	case isLong:
		return e.longDefault, long
	default:
		return time.Duration(e.shortMean), short
	}
}

// observe adds a run. A run above the threshold makes the fingerprint long until its
// mean is below half of the threshold again.
func (e *runTimeEstimator) observe(fingerprint uint64, ran time.Duration) {
	r := e.touch(fingerprint)
	if r.runs == 0 {
		r.mean = float64(ran)
	}
	r.runs++
	r.mean += latestRunWeight * (float64(ran) - r.mean)
	switch {
	case ran > e.longThreshold:
		r.long = true
	case r.mean < float64(e.longThreshold)/2:
		r.long = false
	}
	if ran <= e.longThreshold {
		e.shortMean += latestShortRunWeight * (float64(ran) - e.shortMean)
	}
}

// markLong makes the fingerprint long, because a run that has not ended yet is above
// the threshold.
func (e *runTimeEstimator) markLong(fingerprint uint64) { e.touch(fingerprint).long = true }

func (e *runTimeEstimator) find(fingerprint uint64) *runTime {
	if r := e.recent[fingerprint]; r != nil {
		return r
	}
	return e.previous[fingerprint]
}

// touch returns the fingerprint's entry in the recent generation, and creates or moves
// it if necessary.
func (e *runTimeEstimator) touch(fingerprint uint64) *runTime {
	if r := e.recent[fingerprint]; r != nil {
		return r
	}
	if len(e.recent) >= maxFingerprints/2 {
		e.previous, e.recent = e.recent, make(map[uint64]*runTime)
	}
	r := e.previous[fingerprint]
	if r == nil {
		r = &runTime{}
	}
	e.recent[fingerprint] = r
	return r
}
