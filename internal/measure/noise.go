package measure

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// noiseSleep is the length of the waits that are sampled.
const noiseSleep = 10 * time.Millisecond

// Noise is by how much waits of 10 ms lasted too long during the run. Service
// times of the stand-ins are such waits, so a busy machine lowers the capacity
// and raises all latencies by this much.
type Noise struct {
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// sampleNoise samples until ctx ends.
func sampleNoise(ctx context.Context) Noise {
	h := hdrhistogram.New(1, maxLatency, significantDigits)
	for ctx.Err() == nil {
		started := time.Now()
		time.Sleep(noiseSleep)
		over := (time.Since(started) - noiseSleep).Microseconds()
		_ = h.RecordValue(min(max(over, 1), maxLatency))
	}
	return Noise{P50Ms: quantileMs(h, 50), P99Ms: quantileMs(h, 99), MaxMs: quantileMs(h, 100)}
}
