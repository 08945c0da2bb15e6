package backpressure

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
)

// PermitRequest asks the keeper of an upstream for a permit to send one request to it.
type PermitRequest struct {
	Upstream ids.Instance `json:"upstream"`
	// Node is the node that asks.
	Node ids.VM `json:"node"`
	// PerSecond is the limit as the node knows it, in requests per second.
	PerSecond float64 `json:"per_second"`
	// Urgent is true if the request's caller has part of the response.
	Urgent bool `json:"urgent,omitempty"`
	// Hops is the number of nodes that have passed the request on, 0 for one that the node
	// itself has made.
	Hops int `json:"hops,omitempty"`
}

// PermitReply is the keeper's answer.
type PermitReply struct {
	Upstream ids.Instance `json:"upstream"`
	Granted  bool         `json:"granted"`
	// PauseMs is the time in milliseconds before which the node should not ask again, if
	// no permit is granted.
	PauseMs int64 `json:"pause_ms,omitempty"`
}

// pause returns the time before which the node should not ask again.
func (r PermitReply) pause() time.Duration {
	return min(max(time.Duration(r.PauseMs)*time.Millisecond, 0), maxPause)
}

const (
	// issueBurstPeriod is the time in which a keeper earns the permits that it may issue
	// at once.
	issueBurstPeriod = 200 * time.Millisecond
	// minIssueBurst is the least number of permits that a keeper may issue at once.
	minIssueBurst = 2.0
	// askerPeriod is how long a node counts as one of those that share the permits of an
	// upstream after it has asked for one.
	askerPeriod = 10 * time.Second
	// newKeeperFraction is the fraction of its rate at which a keeper issues permits within
	// newKeeperPeriod after its first. Until all nodes have the same list, another keeper
	// may still issue permits for the same upstream.
	newKeeperFraction = 0.5
	newKeeperPeriod   = 8 * time.Second
	// asksPerPermit is how many times the nodes together ask for each permit, so that
	// permits are used though some nodes have no request when their pause ends.
	asksPerPermit = 4.0
	// minPause and maxPause bound the pause after a denied permit.
	minPause = 20 * time.Millisecond
	maxPause = 5 * time.Second
	// pauseSpread is the largest jitter of a pause, as a fraction of it.
	pauseSpread = 0.5
	// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1
	// spread the jitter of successive pauses evenly without randomness.
	goldenRatio = 0.6180339887498949
)

// Issuer issues the permits for the upstreams whose keeper this node is. Create it with
// NewIssuer.
type Issuer struct {
	buckets map[ids.Instance]*bucket
	// denied counts denied requests, for the jitter of pauses, and issued granted ones.
	denied, issued int
}

// bucket is the token bucket of one upstream.
type bucket struct {
	tokens               float64
	createdAt, updatedAt time.Time
	// askers holds the nodes that have asked within askerPeriod, with the time of their
	// last request.
	askers map[ids.VM]time.Time
}

// NewIssuer returns an Issuer that has issued no permits.
func NewIssuer() *Issuer { return &Issuer{buckets: make(map[ids.Instance]*bucket)} }

// Issue answers a request for a permit. perSecond is the limit of the upstream in
// requests per second, as the keeper knows it.
func (i *Issuer) Issue(now time.Time, r PermitRequest, perSecond float64) PermitReply {
	b := i.bucket(now, r.Upstream)
	rate := max(perSecond, minLimit) * usedFraction
	if now.Sub(b.createdAt) < newKeeperPeriod {
		rate *= newKeeperFraction
	}
	b.advance(now, rate)
	b.addAsker(now, r.Node)
	least := 1.0
	if r.Urgent {
		// Streams under way may use permits of the near future, before new requests.
		least = 1 - b.depth(rate)
	}
	if b.tokens >= least {
		b.tokens--
		i.issued++
		return PermitReply{Upstream: r.Upstream, Granted: true}
	}
	return PermitReply{Upstream: r.Upstream, PauseMs: i.pause(b, rate).Milliseconds()}
}

// AskedByOthers reports whether nodes other than self have asked for permits for an upstream
// lately.
func (i *Issuer) AskedByOthers(now time.Time, id ids.Instance, self ids.VM) bool {
	b := i.buckets[id]
	if b == nil {
		return false
	}
	for node, at := range b.askers {
		if node != self && now.Sub(at) <= askerPeriod {
			return true
		}
	}
	return false
}

// Answered returns the number of requests that the Issuer has answered.
func (i *Issuer) Answered() int { return i.issued + i.denied }

// bucket returns the bucket of an upstream, created without tokens if missing. It drops
// the buckets that are not used anymore.
func (i *Issuer) bucket(now time.Time, id ids.Instance) *bucket {
	b := i.buckets[id]
	if b == nil {
		for other, unused := range i.buckets {
			if now.Sub(unused.updatedAt) > forgetAfter {
				delete(i.buckets, other)
			}
		}
		b = &bucket{createdAt: now, updatedAt: now, askers: make(map[ids.VM]time.Time)}
		i.buckets[id] = b
	}
	return b
}

// depth returns the largest number of permits that are issued at once.
func (b *bucket) depth(rate float64) float64 {
	return max(rate*issueBurstPeriod.Seconds(), minIssueBurst)
}

// advance adds the tokens earned until now.
func (b *bucket) advance(now time.Time, rate float64) {
	b.tokens = min(b.tokens+rate*now.Sub(b.updatedAt).Seconds(), b.depth(rate))
	b.updatedAt = now
}

// addAsker records that a node asks, and drops the nodes that have not asked for long.
func (b *bucket) addAsker(now time.Time, node ids.VM) {
	b.askers[node] = now
	for other, at := range b.askers {
		if now.Sub(at) > askerPeriod {
			delete(b.askers, other)
		}
	}
}

// pause returns the time after which a node that got no permit should ask again: when the
// next one is earned, and so that the nodes together ask asksPerPermit times for each.
func (i *Issuer) pause(b *bucket, rate float64) time.Duration {
	i.denied++
	_, fraction := math.Modf(float64(i.denied) * goldenRatio)
	next := (1 - b.tokens) / rate
	turn := float64(len(b.askers)) / (rate * asksPerPermit) * (1 + pauseSpread*(fraction-0.5))
	return min(max(time.Duration(max(next, turn)*float64(time.Second)), minPause), maxPause)
}
