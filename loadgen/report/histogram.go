package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of histograms, in microseconds and significant digits.
const (
	leastMicros = 1
	mostMicros  = int64(time.Hour / time.Microsecond)
	digits      = 3
)

// Latency sums up a histogram. Times are in milliseconds; all are 0 when Count
// is.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// histogram keeps times. It is not safe for concurrent use.
type histogram struct{ hdr *hdrhistogram.Histogram }

// newHistogram makes an empty histogram.
func newHistogram() *histogram {
	return &histogram{hdr: hdrhistogram.New(leastMicros, mostMicros, digits)}
}

// add takes in a time; one out of range counts as the nearest in it.
func (h *histogram) add(d time.Duration) {
	micros := min(max(d.Microseconds(), leastMicros), mostMicros)
	// RecordValue fails only out of range.
	_ = h.hdr.RecordValue(micros)
}

// latency sums the histogram up.
func (h *histogram) latency() Latency {
	if h.hdr.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		Count: h.hdr.TotalCount(),
		Mean:  h.hdr.Mean() / microsPerMilli,
		P50:   h.quantile(50),
		P95:   h.quantile(95),
		P99:   h.quantile(99),
		Max:   float64(h.hdr.Max()) / microsPerMilli,
	}
}

// microsPerMilli converts microseconds to milliseconds.
const microsPerMilli = 1000

// quantile gives a percentile, in milliseconds.
func (h *histogram) quantile(percent float64) float64 {
	return float64(h.hdr.ValueAtPercentile(percent)) / microsPerMilli
}
