package health

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// rateWindow is the time over which attempts fade.
	rateWindow = 10 * time.Second
	// minSamples is the attempts an upstream must have to be compared.
	minSamples = 15
	// minCompared is the upstreams a service must have to compare.
	minCompared = 5
	// outlierDeviations below the mean, and outlierGap at least, eject.
	outlierDeviations = 2
	outlierGap        = 0.1
	// lookEvery bounds how often a service is compared.
	lookEvery = 100 * time.Millisecond
)

// successRate is the fading share of attempts that succeeded.
type successRate struct {
	good, all float64
	at        time.Time
}

// add counts an attempt.
func (r *successRate) add(now time.Time, good bool) {
	r.fade(now)
	r.all++
	if good {
		r.good++
	}
}

// fade weighs down the attempts before now.
func (r *successRate) fade(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		r.good *= keep
		r.all *= keep
		r.at = now
	}
}

// outlier reports whether an upstream succeeds far less often than the others
// of its service. It finds those that fail often, yet never often in a row.
func (t *Tracker) outlier(now time.Time, m *member) bool {
	if m.rate.all < minSamples || now.Sub(m.service.lookedAt) < lookEvery {
		return false
	}
	m.service.lookedAt = now
	var rates []float64
	for _, other := range m.service.members {
		other.rate.fade(now)
		if other.rate.all >= minSamples {
			rates = append(rates, other.rate.good/other.rate.all)
		}
	}
	if len(rates) < minCompared {
		return false
	}
	mean, deviation := stat.MeanStdDev(rates, nil)
	return m.rate.good/m.rate.all < mean-max(outlierDeviations*deviation, outlierGap)
}
