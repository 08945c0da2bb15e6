package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of histograms.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Latency summarizes a histogram of durations, in milliseconds. All fields are
// 0 if Count is 0.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// histogram is an HDR histogram of durations. It is not safe for concurrent
// use.
type histogram struct{ hdr *hdrhistogram.Histogram }

// newHistogram returns an empty histogram.
func newHistogram() *histogram {
	return &histogram{hdr: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// add records a duration. Durations out of range count as the nearest bound.
func (h *histogram) add(d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	// RecordValue fails only for values out of range.
	_ = h.hdr.RecordValue(micros)
}

// latency summarizes the histogram.
func (h *histogram) latency() Latency {
	if h.hdr.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		Count: h.hdr.TotalCount(),
		Mean:  h.hdr.Mean() / microsPerMilli,
		P50:   h.percentile(50),
		P95:   h.percentile(95),
		P99:   h.percentile(99),
		Max:   float64(h.hdr.Max()) / microsPerMilli,
	}
}

// microsPerMilli converts microseconds to milliseconds.
const microsPerMilli = 1000

// percentile returns the duration at a percentile, in milliseconds.
func (h *histogram) percentile(percent float64) float64 {
	return float64(h.hdr.ValueAtPercentile(percent)) / microsPerMilli
}
