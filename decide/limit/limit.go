// Package limit holds the request rates of client accounts across the fleet.
//
// Each VM has a token bucket for each account, sized by the VM's part of the
// account's fleet-wide rate and burst. Half of the rate is divided evenly, so
// that a newly busy VM can always start: each VM has at least
// rate/(2*VMs). The other half goes to the VMs in proportion to the demand
// they have told each other, evenly while none told any.
//
// What holds. A VM counts a rise of its own demand only after Hold, when its
// peers have heard it, and a fall at once. While digests are no older than
// Hold/2 when they are taken in, and all VMs use the same count of VMs, the
// parts of VMs that hear each other sum to at most the rate. A peer that goes
// unheard keeps, in this VM's eyes, the share it had when last heard, until
// SetFleet and PeerGone say that the platform no longer lists it. Across a
// cut the parts therefore sum to the rate again if demand was steady when the
// cut began, and to at most rate*(1+sides)/2 whatever it did: one and a half
// times the rate for a cut in two. Over any time T the fleet admits at most
//
//	parts*T + 1.5*burst + one request for each VM
//
// The last term is there since a bucket smaller than a request admits one when
// full and owes the rest.
//
// Weighed and left: an equal part for each VM (an account whose connections
// meet few VMs gets a fraction of its rate), and demand shares without the
// delay (all VMs that become busy together would each take the whole).
//
// A Limiter is used by one goroutine. It reads no clock.
package limit

import (
	"container/list"
	"math"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 2 * time.Second
	// partEvery is the time for which a computed part is used.
	partEvery = 50 * time.Millisecond
	// retrySpread widens the time to come back by up to this share.
	retrySpread = 0.5
	// goldenRatio spreads successive refusals evenly without randomness.
	goldenRatio = 0.6180339887498949
)

// Limiter admits requests by client account.
type Limiter struct {
	opts    Options
	vms     int
	buckets map[ids.Account]*bucket
	// recent lists *bucket, the one used last in front.
	recent *list.List
	debts  debts
	peers  map[ids.VM]*peer
	// order holds the peers by name: sums over them are the same each time.
	order []*peer
	// pools holds the accounts that some peer told demand for.
	pools map[ids.Account]*pool
	// hot holds the buckets whose demand may belong in the digest.
	hot map[ids.Account]*bucket
	// version changes when parts have to be computed afresh.
	version uint64
}

// bucket is one account's state on this VM.
type bucket struct {
	account  ids.Account
	place    *list.Element
	rate     float64
	burst    float64
	tokens   float64
	at       time.Time
	demand   float64
	part     float64
	partAt   time.Time
	version  uint64
	refused  uint64
	promised float64
	told     history
}

// New makes a Limiter for a fleet of one VM.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:    withDefaults(opts),
		vms:     1,
		buckets: make(map[ids.Account]*bucket),
		recent:  list.New(),
		peers:   make(map[ids.VM]*peer),
		pools:   make(map[ids.Account]*pool),
		hot:     make(map[ids.Account]*bucket),
	}
}

// SetFleet sets the count of live entry VMs by the platform's list, this one
// included; less than 1 counts as 1. Call PeerGone for each VM that the list
// no longer has.
func (l *Limiter) SetFleet(_ time.Time, vms int) {
	l.vms = max(vms, 1)
	l.version++
}

// Accounts counts the accounts with a bucket.
func (l *Limiter) Accounts() int { return len(l.buckets) }

// LocalRate gives this VM's part of an account's rate, in cost a second.
func (l *Limiter) LocalRate(now time.Time, account fleet.Account) float64 {
	if b, ok := l.buckets[account.ID]; ok {
		b.refill(l, now, account)
		return b.part
	}
	rate, _ := limits(account)
	return rate * l.share(now, account.ID, 0)
}

// Take admits a request of the given cost, in requests, or tells when to come
// back. Successive refusals are told successive times at the rate of the
// part, so that callers do not come back together. A cost that is not above
// zero counts as 1.
func (l *Limiter) Take(now time.Time, account fleet.Account, cost float64) (bool, time.Duration) {
	if !(cost > 0) {
		cost = 1
	}
	b := l.bucket(now, account)
	b.refill(l, now, account)
	b.ask(cost)
	l.watch(b)
	need := min(cost, b.cap())
	if b.tokens >= need {
		b.tokens -= cost
		return true, 0
	}
	return false, l.comeBack(b, need-b.tokens, cost)
}

// bucket gives an account's bucket, made if needed, as the one used last.
func (l *Limiter) bucket(now time.Time, account fleet.Account) *bucket {
	if b, ok := l.buckets[account.ID]; ok {
		l.recent.MoveToFront(b.place)
		return b
	}
	if len(l.buckets) >= l.opts.MaxAccounts {
		l.evict(now, l.recent.Back().Value.(*bucket))
	}
	b := &bucket{account: account.ID, at: now}
	b.rate, b.burst = limits(account)
	b.part = b.rate * l.share(now, account.ID, 0)
	b.partAt = now
	b.version = l.version
	b.tokens = b.cap() - b.part*l.debts.left(now, account.ID).Seconds()
	b.place = l.recent.PushFront(b)
	l.buckets[account.ID] = b
	return b
}

// evict forgets a bucket but for the time at which it would be full again.
func (l *Limiter) evict(now time.Time, b *bucket) {
	missing := b.cap() - b.tokens
	full := b.at.Add(seconds(missing / b.part))
	l.debts.note(now, b.account, full)
	l.recent.Remove(b.place)
	delete(l.buckets, b.account)
	delete(l.hot, b.account)
	l.setOwn(now, b.account, 0)
}

// refill brings a bucket up to now. Over the time passed it counts the lesser
// of the part before and the part now.
func (b *bucket) refill(l *Limiter, now time.Time, account fleet.Account) {
	rate, burst := limits(account)
	before := b.part
	if rate != b.rate || b.version != l.version || now.Sub(b.partAt) >= partEvery {
		b.rate = rate
		b.part = rate * l.share(now, b.account, b.told.least(now, l.opts.HoldDown))
		b.partAt = now
		b.version = l.version
	}
	b.burst = burst
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens += elapsed * min(before, b.part)
		b.promised = max(b.promised-elapsed*b.part, 0)
		b.demand *= math.Exp(-elapsed / demandWindow.Seconds())
		b.at = now
	}
	b.tokens = min(b.tokens, b.cap())
}

// ask counts demand, whether it is met or not.
func (b *bucket) ask(cost float64) { b.demand += cost / demandWindow.Seconds() }

// cap gives the size of the bucket.
func (b *bucket) cap() float64 { return b.burst * b.part / b.rate }

// comeBack gives the time in which a bucket gains what is missing, after what
// it was refused before.
func (l *Limiter) comeBack(b *bucket, missing, cost float64) time.Duration {
	wait := seconds((missing + b.promised) / b.part)
	b.promised = min(b.promised+cost, b.part*l.opts.RetryMax.Seconds())
	b.refused++
	longest := time.Duration(float64(l.opts.RetryMax) / (1 + retrySpread))
	base := min(max(wait, l.opts.RetryMin), max(longest, l.opts.RetryMin))
	_, spread := math.Modf(float64(b.refused) * goldenRatio)
	return base + time.Duration(retrySpread*spread*float64(base))
}

// seconds turns a count of seconds into a duration of at most a day.
func seconds(s float64) time.Duration {
	const day = 24 * 60 * 60
	return time.Duration(min(max(s, 0), day) * float64(time.Second))
}
