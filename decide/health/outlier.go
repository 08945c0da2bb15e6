package health

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// rateDecayTime is the time constant with which past attempts lose weight.
	rateDecayTime = 10 * time.Second
	// minSamples is the least number of attempts for an upstream to be compared.
	minSamples = 15
	// minComparedUpstreams is how many upstreams of a service must have minSamples for a
	// comparison.
	minComparedUpstreams = 5
	// An upstream is an outlier if its success rate is below the mean by more than
	// outlierDeviations standard deviations, and by more than minOutlierGap.
	outlierDeviations = 2
	minOutlierGap     = 0.1
	// compareInterval is the least time between two comparisons of a service.
	compareInterval = 100 * time.Millisecond
)

// successRate counts attempts, weighted by age.
type successRate struct {
	succeeded, total float64
	updatedAt        time.Time
}

// add counts an attempt.
func (r *successRate) add(now time.Time, success bool) {
	r.decay(now)
	r.total++
	if success {
		r.succeeded++
	}
}

// decay reduces the weight of past attempts to what it is at now.
func (r *successRate) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / rateDecayTime.Seconds())
		r.succeeded *= keep
		r.total *= keep
		r.updatedAt = now
	}
}

// isOutlier reports whether an upstream's success rate is far below that of the others
// in its service. It catches upstreams that fail often, but rarely in a row.
func (t *Tracker) isOutlier(now time.Time, m *member) bool {
	if m.rate.total < minSamples || now.Sub(m.service.comparedAt) < compareInterval {
		return false
	}
	m.service.comparedAt = now
	var rates []float64
	for _, other := range m.service.members {
		other.rate.decay(now)
		if other.rate.total >= minSamples {
			rates = append(rates, other.rate.succeeded/other.rate.total)
		}
	}
	if len(rates) < minComparedUpstreams {
		return false
	}
	mean, deviation := stat.MeanStdDev(rates, nil)
	return m.rate.succeeded/m.rate.total < mean-max(outlierDeviations*deviation, minOutlierGap)
}
