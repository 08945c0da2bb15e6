package forward

import (
	"slices"
	"sync"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
)

const (
	// lostFor is how long a run whose connection was lost counts as in flight
	// there: the registry forgets a crashed upstream after three missed
	// heartbeats of about a second, and a lost connection shows at once.
	lostFor = 10 * time.Second
	// sameLoss is how long after an upstream was found dead a run that is lost
	// there is laid to that: its attempt ends right after the engines of its
	// chain were asked.
	sameLoss = 2 * time.Second
	// maxLost bounds the runs that are remembered as lost.
	maxLost = 4096
	// maxVerdicts bounds the verdicts that are held.
	maxVerdicts = 1024
)

// Verdict tells that requests of a fingerprint crash the upstreams that run
// them, and for how long they are refused from now on.
type Verdict struct {
	Fingerprint quarantine.Fingerprint
	For         time.Duration
}

// run is one attempt of a request at the upstreams of its chain.
type run struct {
	print     quarantine.Fingerprint
	service   ids.Service
	upstreams []*directory.Upstream
	// lostAt is when its connection was lost, zero before.
	lostAt time.Time
	// blamed tells that a death was laid to it. One attempt stands for one
	// death, as a cut or a failing rack takes many upstreams at once.
	blamed bool
}

// blame finds the requests that crash each upstream they run on. Any goroutine
// may call its methods.
type blame struct {
	opts Options

	mu       sync.Mutex
	blamers  map[ids.Service]*quarantine.Blamer
	lost     []*run
	lostAt   map[ids.Upstream][]*run
	deadAt   map[ids.Upstream]time.Time
	verdicts map[quarantine.Fingerprint]held
}

// held is a verdict of a peer's, or that this node told.
type held struct {
	until time.Time
	// own verdicts rest on the evidence here, which may yet take them back.
	own bool
}

// newBlame makes a blame without evidence.
func newBlame(o Options) *blame {
	return &blame{
		opts:     o,
		blamers:  make(map[ids.Service]*quarantine.Blamer),
		lostAt:   make(map[ids.Upstream][]*run),
		deadAt:   make(map[ids.Upstream]time.Time),
		verdicts: make(map[quarantine.Fingerprint]held),
	}
}

// blamer gives the evidence of a service.
func (b *blame) blamer(service ids.Service) *quarantine.Blamer {
	q := b.blamers[service]
	if q == nil {
		// Nodes tell each other verdicts and no evidence, so there is none to
		// wait for.
		q = quarantine.New(quarantine.Options{Settle: -1})
		b.blamers[service] = q
	}
	return q
}

// runLost notes that the connection of a run broke, or that it was led around
// a dead stage.
func (b *blame) runLost(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.lostAt = b.opts.Now()
	b.forgetLost(r.lostAt)
	b.lost = append(b.lost, r)
	for _, u := range r.upstreams {
		b.lostAt[u.ID] = append(b.lostAt[u.ID], r)
		if dead, ok := b.deadAt[u.ID]; ok && r.lostAt.Sub(dead) <= sameLoss {
			b.charge(r.lostAt, u.ID, r.service)
		}
	}
}

// forgetLost drops what was lost too long ago.
func (b *blame) forgetLost(now time.Time) {
	for len(b.lost) > 0 && (len(b.lost) >= maxLost || now.Sub(b.lost[0].lostAt) > lostFor) {
		old := b.lost[0]
		b.lost = b.lost[1:]
		for _, u := range old.upstreams {
			rest := slices.DeleteFunc(b.lostAt[u.ID], func(r *run) bool { return r == old })
			if len(rest) == 0 {
				delete(b.lostAt, u.ID)
				continue
			}
			b.lostAt[u.ID] = rest
		}
	}
}

// seen tells of an upstream that is new: one that stood at its address before
// has ended.
func (b *blame) seen(now *directory.Upstream) {
	for _, u := range b.lostNear(now) {
		b.died(u)
	}
}

// lostNear gives the other upstreams at an address where runs were lost.
func (b *blame) lostNear(now *directory.Upstream) []*directory.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var before []*directory.Upstream
	for _, r := range b.lost {
		for _, u := range r.upstreams {
			if u.Address == now.Address && u.ID != now.ID && !u.Leaving && !slices.Contains(before, u) {
				before = append(before, u)
			}
		}
	}
	return before
}

// died blames an upstream's death on the runs that were lost there. It may be
// told more than once.
func (b *blame) died(u *directory.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	b.forgetLost(now)
	for id, at := range b.deadAt {
		if now.Sub(at) > lostFor {
			delete(b.deadAt, id)
		}
	}
	if _, known := b.deadAt[u.ID]; !known {
		b.deadAt[u.ID] = now
		b.opts.Metrics.Add("upstream.died", 1)
	}
	b.charge(now, u.ID, u.Service)
}

// charge lays a death to the runs that were lost there.
func (b *blame) charge(now time.Time, id ids.Upstream, service ids.Service) {
	var prints []quarantine.Fingerprint
	for _, r := range b.lostAt[id] {
		if !r.blamed && r.service == service {
			r.blamed = true
			prints = append(prints, r.print)
		}
	}
	// Deaths that nothing is blamed for count as well: they speak for a cause
	// outside.
	b.blamer(service).Died(now, id, "", prints)
}

// served notes that a request was answered whole.
func (b *blame) served(service ids.Service, print quarantine.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blamer(service).Succeeded(b.opts.Now(), print)
}

// refused reports whether requests of a fingerprint are refused; news is set
// when this node has just found so by itself.
func (b *blame) refused(service ids.Service, print quarantine.Fingerprint) (refused bool, news *Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	known, told := b.verdicts[print]
	told = told && now.Before(known.until)
	if told && !known.own {
		return true, nil
	}
	found, until := b.blamer(service).Quarantined(now, print)
	if !found || told {
		return found, nil
	}
	verdict := Verdict{Fingerprint: print, For: until.Sub(now)}
	b.keep(now, verdict, true)
	return true, &verdict
}

// told takes a peer's verdict.
func (b *blame) told(v Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keep(b.opts.Now(), v, false)
}

// keep holds a verdict until its time is over; without room the new one is
// left out, and found by the node itself if need be.
func (b *blame) keep(now time.Time, v Verdict, own bool) {
	if len(b.verdicts) >= maxVerdicts {
		for print, verdict := range b.verdicts {
			if !now.Before(verdict.until) {
				delete(b.verdicts, print)
			}
		}
	}
	if len(b.verdicts) < maxVerdicts {
		b.verdicts[v.Fingerprint] = held{until: now.Add(min(v.For, quarantine.DefaultFor)), own: own}
	}
}
