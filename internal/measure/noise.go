package measure

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// noiseSleep is the requested length of each sampled sleep.
const noiseSleep = 10 * time.Millisecond

// Noise is the scheduling delay of the machine during the run: by how much sleeps
// of 10 ms overran. The stand-ins sleep for their service times, so a busy machine
// lowers their capacity and raises all latencies by this much.
type Noise struct {
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// sampleNoise measures sleeps until ctx ends.
func sampleNoise(ctx context.Context) Noise {
	h := hdrhistogram.New(1, maxLatency, significantDigits)
	for ctx.Err() == nil {
		start := time.Now()
		time.Sleep(noiseSleep)
		overrun := (time.Since(start) - noiseSleep).Microseconds()
		_ = h.RecordValue(min(max(overrun, 1), maxLatency))
	}
	return Noise{P50Ms: quantileMs(h, 50), P99Ms: quantileMs(h, 99), MaxMs: quantileMs(h, 100)}
}
