package forward

import (
	"slices"
	"strconv"
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
	// maxLost bounds the runs that are remembered as lost, to about 1 MB.
	maxLost = 4096
	// maxVerdicts bounds the verdicts that are held, each for two upstreams that
	// crashed, to about 0.1 MB.
	maxVerdicts = 1024
)

// run is one attempt of a request at the upstreams of its chain.
type run struct {
	print     quarantine.Fingerprint
	service   ids.Service
	upstreams []ids.Instance
	// lostAt is when its connection was lost, zero before.
	lostAt time.Time
	// blamed tells that a death was laid to it. One attempt stands for one
	// death, as a cut or a failing rack takes many upstreams at once.
	blamed bool
}

// culprits finds the requests that crash each upstream they run on. Any goroutine
// may call its methods.
type culprits struct {
	opts Options

	mu       sync.Mutex
	blamers  map[ids.Service]*quarantine.Detector
	lost     []*run
	lostAt   map[ids.Instance][]*run
	deadAt   map[ids.Instance]time.Time
	verdicts map[quarantine.Fingerprint]held
}

// held is a verdict of a peer's, or that this node told.
type held struct {
	until time.Time
	// own verdicts rest on the evidence here, which may yet take them back.
	own bool
}

// newCulprits makes one without evidence.
func newCulprits(o Options) *culprits {
	return &culprits{
		opts:     o,
		blamers:  make(map[ids.Service]*quarantine.Detector),
		lostAt:   make(map[ids.Instance][]*run),
		deadAt:   make(map[ids.Instance]time.Time),
		verdicts: make(map[quarantine.Fingerprint]held),
	}
}

// blamer gives the evidence of a service.
func (c *culprits) blamer(service ids.Service) *quarantine.Detector {
	q := c.blamers[service]
	if q == nil {
		// Nodes tell each other verdicts and no evidence, so there is none to
		// wait for.
		q = quarantine.New(quarantine.Options{PeerWait: -1})
		c.blamers[service] = q
	}
	return q
}

// runLost notes that the connection of a run broke, or that it was led around
// a dead stage.
func (c *culprits) runLost(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.lostAt = c.opts.Now()
	c.forgetLost(r.lostAt)
	c.lost = append(c.lost, r)
	for _, id := range r.upstreams {
		c.lostAt[id] = append(c.lostAt[id], r)
		if dead, ok := c.deadAt[id]; ok && r.lostAt.Sub(dead) <= sameLoss {
			c.charge(r.lostAt, id, r.service)
		}
	}
}

// forgetLost drops what was lost too long ago.
func (c *culprits) forgetLost(now time.Time) {
	for len(c.lost) > 0 && (len(c.lost) >= maxLost || now.Sub(c.lost[0].lostAt) > lostFor) {
		old := c.lost[0]
		c.lost = c.lost[1:]
		for _, id := range old.upstreams {
			rest := slices.DeleteFunc(c.lostAt[id], func(r *run) bool { return r == old })
			if len(rest) == 0 {
				delete(c.lostAt, id)
				continue
			}
			c.lostAt[id] = rest
		}
	}
}

// died blames an upstream's death on the runs that were lost there. It may be
// told more than once.
func (c *culprits) died(u *directory.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	c.forgetLost(now)
	for id, at := range c.deadAt {
		if now.Sub(at) > lostFor {
			delete(c.deadAt, id)
		}
	}
	if _, known := c.deadAt[u.ID]; !known {
		c.deadAt[u.ID] = now
		c.opts.Metrics.Add("upstream.died", 1)
	}
	c.charge(now, u.ID, u.Service)
}

// charge lays a death to the runs that were lost there.
func (c *culprits) charge(now time.Time, id ids.Instance, service ids.Service) {
	var prints []quarantine.Fingerprint
	for _, r := range c.lostAt[id] {
		if !r.blamed && r.service == service {
			r.blamed = true
			prints = append(prints, r.print)
		}
	}
	// Deaths that nothing is blamed for count as well: they speak for a cause
	// outside.
	c.blamer(service).RecordDeath(now, id.Upstream, strconv.FormatInt(id.StartedMs, 10), prints)
}

// served notes that a request was answered whole.
func (c *culprits) served(service ids.Service, print quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blamer(service).RecordSuccess(c.opts.Now(), print)
}

// refused reports whether requests of a fingerprint are refused; news is set
// when this node has just found so by itself.
func (c *culprits) refused(service ids.Service, print quarantine.Fingerprint) (refused bool, news *quarantine.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	known, told := c.verdicts[print]
	told = told && now.Before(known.until)
	if told && !known.own {
		return true, nil
	}
	found, until := c.blamer(service).Quarantined(now, print)
	if !found || told {
		return found, nil
	}
	verdict := quarantine.Verdict{Fingerprint: print, For: until.Sub(now)}
	c.keep(now, verdict, true)
	return true, &verdict
}

// told takes a peer's verdict.
func (c *culprits) told(v quarantine.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep(c.opts.Now(), v, false)
}

// keep holds a verdict until its time is over; without room the new one is
// left out, and found by the node itself if need be.
func (c *culprits) keep(now time.Time, v quarantine.Verdict, own bool) {
	if len(c.verdicts) >= maxVerdicts {
		for print, verdict := range c.verdicts {
			if !now.Before(verdict.until) {
				delete(c.verdicts, print)
			}
		}
	}
	if len(c.verdicts) < maxVerdicts {
		c.verdicts[v.Fingerprint] = held{until: now.Add(min(v.For, quarantine.DefaultDuration)), own: own}
	}
}
