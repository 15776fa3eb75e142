package owner

import "time"

// updateMeanRunTime returns the mean run time of the statement before this run, 0 if it
// is not known, and adds this run to the mean.
func (g *group) updateMeanRunTime(fingerprint uint64, ran time.Duration, failed bool) time.Duration {
	mean := g.meanRunTimes[fingerprint]
	if failed || ran <= 0 || mean == 0 && len(g.meanRunTimes) >= maxMeanRunTimes {
		return mean
	}
	if mean == 0 {
		g.meanRunTimes[fingerprint] = ran
		return 0
	}
	g.meanRunTimes[fingerprint] = mean + (ran-mean)/meanRunTimeDivisor
	return mean
}
