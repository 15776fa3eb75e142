package admission

import "time"

const (
	// learnWeight is the weight of the latest run in the mean.
	learnWeight = 0.2
	// priorWeight is the weight of the latest short run in the mean of all.
	priorWeight = 0.05
	// maxFingerprints bounds the learned run times of one group, at about 100
	// bytes each.
	maxFingerprints = 4096
)

// learned keeps the run time of each fingerprint. It remembers the fingerprints
// that were used most recently: when the young half is full, it becomes the old
// half and the previous old half is forgotten.
type learned struct {
	limit      time.Duration
	longPrior  time.Duration
	shortPrior float64
	young, old map[uint64]*runTime
}

// runTime is what was learned of one fingerprint.
type runTime struct {
	mean float64
	runs uint64
	long bool
}

func newLearned(cfg Config) *learned {
	return &learned{
		limit:      cfg.ShortLimit,
		longPrior:  cfg.LongExpected,
		shortPrior: float64(cfg.ShortExpected),
		young:      make(map[uint64]*runTime),
	}
}

// lookup returns the expected run time and the class of the work.
func (l *learned) lookup(w Work) (time.Duration, class) {
	r := l.find(w.Fingerprint)
	isLong := w.LongRunning || r != nil && r.long
	switch {
	case r != nil && r.runs > 0:
		return time.Duration(r.mean), classOf(isLong)
	case isLong:
		return l.longPrior, long
	default:
		return time.Duration(l.shortPrior), short
	}
}

// observe adds a run. A run above the limit makes the fingerprint long until its
// mean is below half of the limit again.
func (l *learned) observe(fingerprint uint64, ran time.Duration) {
	r := l.use(fingerprint)
	if r.runs == 0 {
		r.mean = float64(ran)
	}
	r.runs++
	r.mean += learnWeight * (float64(ran) - r.mean)
	switch {
	case ran > l.limit:
		r.long = true
	case r.mean < float64(l.limit)/2:
		r.long = false
	}
	if ran <= l.limit {
		l.shortPrior += priorWeight * (float64(ran) - l.shortPrior)
	}
}

// outrun marks a fingerprint as long while a run above the limit still lasts.
func (l *learned) outrun(fingerprint uint64) { l.use(fingerprint).long = true }

func (l *learned) find(fingerprint uint64) *runTime {
	if r := l.young[fingerprint]; r != nil {
		return r
	}
	return l.old[fingerprint]
}

// use returns the fingerprint's entry in the young half.
func (l *learned) use(fingerprint uint64) *runTime {
	if r := l.young[fingerprint]; r != nil {
		return r
	}
	if len(l.young) >= maxFingerprints/2 {
		l.old, l.young = l.young, make(map[uint64]*runTime)
	}
	r := l.old[fingerprint]
	if r == nil {
		r = &runTime{}
	}
	l.young[fingerprint] = r
	return r
}
