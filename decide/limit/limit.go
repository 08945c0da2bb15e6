// Package limit enforces the request rates of client accounts across a fleet of
// VMs without coordination on each request.
//
// Each VM keeps a token bucket per account. Its refill rate and size are the VM's
// share of the account's fleet-wide rate and burst. Half of the rate is divided
// evenly, so that a VM that becomes busy can always start: each VM has at least
// rate/(2*VMs). The other half is divided in proportion to the demand that the
// VMs report to each other in digests, and evenly while none report any.
//
// Guarantees. A VM applies a rise of its own demand only after HoldDown, when its
// peers have received it, and a fall at once. While digests are at most HoldDown/2
// old when they are taken in, and all VMs use the same number of VMs, the local
// rates of VMs that receive each other's digests sum to at most the account's rate.
// A peer whose digests stop arriving keeps its last share in this VM's
// calculation, until SetVMCount and PeerGone say that the platform no longer lists
// it. In a network partition, the local rates therefore sum to at most the rate if
// demand was steady when the partition began, and otherwise to at most
// rate*(1+sides)/2: 1.5 times the rate for two sides. Over any time T, with local
// rates that sum to at most total, the fleet admits at most
//
//	total*T + 1.5*burst + one request per VM
//
// The last term is there because a bucket that is smaller than a request admits
// one when it is full and then goes into debt. A VM that restarts begins with full
// buckets, so each restart adds its share of the burst.
//
// Two alternatives are worse. With an equal share for each VM, an account whose
// connections reach only a few VMs gets a fraction of its rate. With demand shares
// that apply without delay, VMs that become busy together would each take the
// whole rate.
//
// A Limiter is not safe for concurrent use. It reads no clock.
package limit

import (
	"container/list"
	"math"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

const (
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = 2 * time.Second
	// localRateTTL is how long a computed local rate is used before it is
	// recomputed.
	localRateTTL = 50 * time.Millisecond
	// retrySpread is the largest jitter of a retry delay, as a fraction of it.
	retrySpread = 0.5
	// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1
	// spread the jitter of successive refusals evenly without randomness.
	goldenRatio = 0.6180339887498949
)

// Limiter limits the request rate of each client account on one VM. Create it with
// New.
type Limiter struct {
	opts Options
	// vmCount is the number of entry VMs that the platform lists.
	vmCount int
	buckets map[ids.Account]*bucket
	// recent holds every *bucket, most recently used first.
	recent  *list.List
	evicted evictedTable
	peers   map[ids.VM]*peer
	// sortedPeers holds the peers by name, so that floating-point sums over them
	// don't depend on map order.
	sortedPeers []*peer
	// demands holds the accounts for which this VM or a peer reported demand.
	demands map[ids.Account]*fleetDemand
	// reportable holds the buckets whose demand may belong in the next digest, or
	// is still in use by peers.
	reportable map[ids.Account]*bucket
	// version is incremented to make all buckets recompute their local rate.
	version uint64
}

// bucket is the token bucket of one account on this VM.
type bucket struct {
	account ids.Account
	// element is the bucket's place in Limiter.recent.
	element *list.Element
	// rate and burst are the account's, for the whole fleet.
	rate  float64
	burst float64
	// tokens is the cost that can be admitted, as of refilledAt. It is negative
	// after a request that is larger than the bucket.
	tokens     float64
	refilledAt time.Time
	// demand is the average cost requested per second, as of refilledAt.
	demand float64
	// localRate is this VM's share of rate, computed at localRateAt for version.
	localRate   float64
	localRateAt time.Time
	version     uint64
	// refused counts the refused requests.
	refused uint64
	// backlog is the cost of refused requests whose retry time has not come.
	backlog float64
	sent    demandHistory
}

// New returns a Limiter for a fleet of one VM.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:       withDefaults(opts),
		vmCount:    1,
		buckets:    make(map[ids.Account]*bucket),
		recent:     list.New(),
		peers:      make(map[ids.VM]*peer),
		demands:    make(map[ids.Account]*fleetDemand),
		reportable: make(map[ids.Account]*bucket),
	}
}

// SetVMCount sets the number of live entry VMs in the platform's list, including
// this one; values below 1 count as 1. The caller must also call PeerGone for each
// VM that was removed from the list.
func (l *Limiter) SetVMCount(_ time.Time, vms int) {
	l.vmCount = max(vms, 1)
	l.version++
}

// Accounts returns the number of accounts that have a bucket.
func (l *Limiter) Accounts() int { return len(l.buckets) }

// LocalRate returns this VM's share of an account's rate, in cost per second.
func (l *Limiter) LocalRate(now time.Time, account fleet.Account) float64 {
	if b, ok := l.buckets[account.ID]; ok {
		b.refill(l, now, account)
		return b.localRate
	}
	rate, _ := limits(account)
	return rate * l.share(now, account.ID, 0)
}

// Take admits a request of the given cost, in requests, and returns true, or
// returns false and the delay after which the caller should retry. The delays of
// successive refusals grow at the local rate, so that callers don't retry all at
// once. A cost that is not above zero counts as 1.
func (l *Limiter) Take(now time.Time, account fleet.Account, cost float64) (bool, time.Duration) {
	if !(cost > 0) {
		cost = 1
	}
	b := l.bucket(now, account)
	b.refill(l, now, account)
	b.addDemand(cost)
	l.trackDemand(b)
	need := min(cost, b.cap())
	if b.tokens >= need {
		b.tokens -= cost
		return true, 0
	}
	return false, l.retryAfter(b, need-b.tokens, cost)
}

// bucket returns an account's bucket, and creates it if needed. It marks the bucket
// as the most recently used.
func (l *Limiter) bucket(now time.Time, account fleet.Account) *bucket {
	if b, ok := l.buckets[account.ID]; ok {
		l.recent.MoveToFront(b.element)
		return b
	}
	if len(l.buckets) >= l.opts.MaxAccounts {
		l.evict(now, l.recent.Back().Value.(*bucket))
	}
	b := &bucket{account: account.ID, refilledAt: now}
	b.rate, b.burst = limits(account)
	b.localRate = b.rate * l.share(now, account.ID, 0)
	b.localRateAt = now
	b.version = l.version
	b.tokens = b.cap() - b.localRate*l.evicted.untilFull(now, account.ID).Seconds()
	b.element = l.recent.PushFront(b)
	l.buckets[account.ID] = b
	return b
}

// evict removes a bucket and records the time at which it would be full again.
func (l *Limiter) evict(now time.Time, b *bucket) {
	missing := b.cap() - b.tokens
	full := b.refilledAt.Add(seconds(missing / b.localRate))
	l.evicted.record(now, b.account, full)
	l.recent.Remove(b.element)
	delete(l.buckets, b.account)
	delete(l.reportable, b.account)
	l.setOwnDemand(now, b.account, 0)
}

// refill adds the tokens earned up to now and recomputes the local rate if it is
// out of date. Tokens are earned at the lower of the previous and the new local
// rate.
func (b *bucket) refill(l *Limiter, now time.Time, account fleet.Account) {
	rate, burst := limits(account)
	before := b.localRate
	if rate != b.rate || b.version != l.version || now.Sub(b.localRateAt) >= localRateTTL {
		b.rate = rate
		b.localRate = rate * l.share(now, b.account, b.sent.lowest(now, l.opts.HoldDown))
		b.localRateAt = now
		b.version = l.version
	}
	b.burst = burst
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.tokens += elapsed * min(before, b.localRate)
		b.backlog = max(b.backlog-elapsed*b.localRate, 0)
		b.demand *= math.Exp(-elapsed / demandWindow.Seconds())
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, b.cap())
}

// addDemand counts a request as demand, whether or not it is admitted.
func (b *bucket) addDemand(cost float64) { b.demand += cost / demandWindow.Seconds() }

// cap returns the size of the bucket: this VM's share of the burst.
func (b *bucket) cap() float64 { return b.burst * b.localRate / b.rate }

// retryAfter returns the time in which a bucket earns the missing tokens and the
// cost of the requests refused before, with jitter and within the bounds of the
// options.
func (l *Limiter) retryAfter(b *bucket, missing, cost float64) time.Duration {
	wait := seconds((missing + b.backlog) / b.localRate)
	b.backlog = min(b.backlog+cost, b.localRate*l.opts.RetryMax.Seconds())
	b.refused++
	longest := time.Duration(float64(l.opts.RetryMax) / (1 + retrySpread))
	base := min(max(wait, l.opts.RetryMin), max(longest, l.opts.RetryMin))
	_, spread := math.Modf(float64(b.refused) * goldenRatio)
	return base + time.Duration(retrySpread*spread*float64(base))
}

// seconds converts seconds to a duration between 0 and one day.
func seconds(s float64) time.Duration {
	const day = 24 * 60 * 60
	return time.Duration(min(max(s, 0), day) * float64(time.Second))
}
