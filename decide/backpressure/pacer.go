package backpressure

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/fnvhash"
)

// tokenLifetime is how long a token lasts if it is not used. With a longer lifetime more
// nodes that have been idle could send at the same moment.
const tokenLifetime = 1500 * time.Millisecond

// pacer spaces requests at a rate that may change. A token is due for each.
type pacer struct {
	// earned is the fraction of the next token that has been earned, 0 to 1.
	earned    float64
	updatedAt time.Time
	// tokens is the number of unused tokens, which expire at expireAt.
	tokens   int
	expireAt time.Time
}

// newPacer returns a pacer without tokens. The time of its first token is random: it
// depends on the seed and the upstream, so that nodes do not send at the same moment.
func newPacer(now time.Time, seed uint64, id ids.Instance) pacer {
	return pacer{earned: fnvhash.Fraction(fnvhash.Sum(id.String()) ^ seed), updatedAt: now}
}

// newReturnPacer returns a pacer whose first token is due at a time.
func newReturnPacer(at time.Time) pacer {
	return pacer{updatedAt: at, tokens: 1, expireAt: at.Add(math.MaxInt64)}
}

// advance updates the tokens to time now. rate is in tokens per second and applies
// since the last update.
func (p *pacer) advance(now time.Time, rate float64) {
	total := p.earned + rate*now.Sub(p.updatedAt).Seconds()
	issued := math.Floor(total)
	p.earned, p.updatedAt = total-issued, now
	if issued > 0 {
		most := max(math.Floor(rate*tokenLifetime.Seconds()), 1)
		p.tokens = int(min(float64(p.tokens)+issued, most))
		sinceIssue := time.Duration(p.earned / rate * float64(time.Second))
		p.expireAt = now.Add(tokenLifetime - sinceIssue)
	}
	if p.tokens > 0 && !now.Before(p.expireAt) {
		p.tokens = 0
	}
}

// admits updates the tokens and reports whether there is one, as an Admission.
func (p *pacer) admits(now time.Time, rate float64) Admission {
	p.advance(now, rate)
	if p.tokens > 0 {
		return Admitted
	}
	return Held
}

// skip updates the time without earning tokens.
func (p *pacer) skip(now time.Time) { p.updatedAt = now }

// use uses up a token, if there is one.
func (p *pacer) use() { p.tokens = max(p.tokens-1, 0) }
