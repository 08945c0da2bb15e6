package backpressure

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
)

// permitLifetime is how long a permit lasts if it is not used. With a longer lifetime more
// nodes that have been idle could send at the same moment.
const permitLifetime = 1500 * time.Millisecond

// pacer spaces requests at a rate that may change. A permit is due for each.
type pacer struct {
	// earned is the fraction of the next permit that has been earned, 0 to 1.
	earned    float64
	updatedAt time.Time
	// permits is the number of unused permits, which expire at expireAt.
	permits  int
	expireAt time.Time
}

// newPacer returns a pacer without permits. The time of its first permit is random: it
// depends on the seed and the upstream, so that nodes do not send at the same moment.
func newPacer(now time.Time, seed uint64, id ids.Instance) pacer {
	return pacer{earned: fractionOf(hash(fnvOffset, id.String()) ^ seed), updatedAt: now}
}

// newReturnPacer returns a pacer whose first permit is due at a time.
func newReturnPacer(at time.Time) pacer {
	return pacer{updatedAt: at, permits: 1, expireAt: at.Add(math.MaxInt64)}
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hash continues a 64-bit FNV-1a hash with a text.
func hash(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime
	}
	return h
}

// mixingFactor is an odd factor that spreads the bits of a number.
const mixingFactor = 0x9e3779b97f4a7c15

// fractionOf returns a number in [0, 1) that depends on all bits of v.
func fractionOf(v uint64) float64 {
	v = (v ^ v>>31) * mixingFactor
	v = (v ^ v>>29) * mixingFactor
	return float64(v>>11) / (1 << 53)
}

// advance updates the permits to time now. rate is in permits per second and applies
// since the last update.
func (p *pacer) advance(now time.Time, rate float64) {
	total := p.earned + rate*now.Sub(p.updatedAt).Seconds()
	issued := math.Floor(total)
	p.earned, p.updatedAt = total-issued, now
	if issued > 0 {
		most := max(math.Floor(rate*permitLifetime.Seconds()), 1)
		p.permits = int(min(float64(p.permits)+issued, most))
		sinceIssue := time.Duration(p.earned / rate * float64(time.Second))
		p.expireAt = now.Add(permitLifetime - sinceIssue)
	}
	if p.permits > 0 && !now.Before(p.expireAt) {
		p.permits = 0
	}
}

// admits updates the permits and reports whether there is one, as an Admission.
func (p *pacer) admits(now time.Time, rate float64) Admission {
	p.advance(now, rate)
	if p.permits > 0 {
		return Admitted
	}
	return Held
}

// skip updates the time without earning permits.
func (p *pacer) skip(now time.Time) { p.updatedAt = now }

// use uses up a permit, if there is one.
func (p *pacer) use() { p.permits = max(p.permits-1, 0) }

// meterPeriod is the time constant of a meter.
const meterPeriod = 5 * time.Second

// meter measures the rate of events as an exponential moving average.
type meter struct {
	rate float64
	at   time.Time
}

// add records an event.
func (m *meter) add(now time.Time) {
	m.rate = m.perSecond(now) + 1/meterPeriod.Seconds()
	m.at = now
}

// perSecond returns the rate of events at a time, in events per second.
func (m *meter) perSecond(at time.Time) float64 {
	return m.rate * math.Exp(-max(at.Sub(m.at), 0).Seconds()/meterPeriod.Seconds())
}
