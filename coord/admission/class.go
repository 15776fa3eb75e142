package admission

import (
	"math/bits"
	"time"
)

// class is the size class of work: short or long.
type class int

const (
	short class = iota
	long
	classCount
)

func classOf(isLong bool) class {
	if isLong {
		return long
	}
	return short
}

// lane separates work that replicas may run from work that only the primary can run.
type lane int

const (
	// laneReplica holds reads that at least one replica may run; the primary may run
	// them too.
	laneReplica lane = iota
	// lanePrimary holds writes, and reads that only the primary can serve now.
	lanePrimary
	laneCount
)

const (
	// firstBucketLimit is the upper limit of the first bucket of run times; the limit
	// doubles with each further bucket.
	firstBucketLimit = 250 * time.Microsecond
	// bucketCount covers run times up to 131 s.
	bucketCount = 20
)

// bucketOf returns the bucket of a run time.
func bucketOf(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/firstBucketLimit)), bucketCount-1)
}
