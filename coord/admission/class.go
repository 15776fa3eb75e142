package admission

import (
	"math/bits"
	"time"
)

// class separates short from long work.
type class int

const (
	short class = iota
	long
	classes
)

func classOf(isLong bool) class {
	if isLong {
		return long
	}
	return short
}

// lane separates work that replicas may run from work for the primary.
type lane int

const (
	// laneSpread holds reads that some replica may run.
	laneSpread lane = iota
	// lanePrimary holds writes, and reads that only the primary can serve now.
	lanePrimary
	lanes
)

const (
	// bucketUnit is the upper limit of the first bucket; each further bucket is
	// twice as wide.
	bucketUnit = 250 * time.Microsecond
	// bucketCount covers run times up to 131 s.
	bucketCount = 20
)

// bucketOf returns the order of magnitude of a run time.
func bucketOf(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/bucketUnit)), bucketCount-1)
}
