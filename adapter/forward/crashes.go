package forward

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
)

const (
	// lostRunTTL is how long a lost run can still be matched with the death of its
	// upstream. A lost connection is noticed at once, but the registry drops a crashed
	// upstream only after three missed heartbeats, about a second apart.
	lostRunTTL = 10 * time.Second
	// deathMatchWindow is how long after the death of an upstream a run lost there is
	// still blamed for it. An attempt ends right after its engines were probed, so its
	// loss may be recorded after the death.
	deathMatchWindow = 2 * time.Second
	// maxLostRuns bounds the lost runs that are kept, to about 1 MB.
	maxLostRuns = 4096
)

// run is one attempt of a request, with the upstreams of its chain.
type run struct {
	fingerprint quarantine.Fingerprint
	// parts are the fingerprints of the parts of its prompt that may have crashed upstreams.
	parts     []quarantine.Fingerprint
	service   ids.Service
	upstreams []ids.Instance
	// began is when it was sent to these upstreams, zero if that is not known.
	began time.Time
	// started is true if an event of the response had come.
	started bool
	// lostAt is when the connection was lost, zero while it is open.
	lostAt time.Time
	// blamed is true once a death was attributed to the run. A run is blamed for one
	// death at most, because a network partition or a failing rack takes many upstreams
	// at once.
	blamed bool
}

// crashTracker attributes the deaths of upstreams to the runs that this node has lost there,
// and decides with its peers which requests crash upstreams. Its methods are safe for
// concurrent use.
type crashTracker struct {
	opts Options
	// nodes is the number of nodes of the fleet.
	nodes atomic.Int64

	mu             sync.Mutex
	decider        *quarantine.Decider
	lostRuns       []*run
	lostByUpstream map[ids.Instance][]*run
	diedAt         map[ids.Instance]time.Time
	// reported holds the deaths that peers have reported, and answeredAt when upstreams with a
	// lost run or a reported death last answered this node.
	reported   map[ids.Instance]reportedDeath
	answeredAt map[ids.Instance]time.Time
	// doubts is false while there are no such upstreams.
	doubts atomic.Bool
}

// reportedDeath is when an upstream died as a peer reports it, and when this node heard of it.
type reportedDeath struct{ at, heardAt time.Time }

// newCrashTracker returns a tracker without evidence.
func newCrashTracker(o Options) *crashTracker {
	return &crashTracker{
		opts:           o,
		decider:        quarantine.NewDecider(),
		lostByUpstream: make(map[ids.Instance][]*run),
		diedAt:         make(map[ids.Instance]time.Time),
		reported:       make(map[ids.Instance]reportedDeath),
		answeredAt:     make(map[ids.Instance]time.Time),
	}
}

// setNodes sets the number of nodes of the fleet. It takes no lock, since its caller may hold
// one that QuarantineRole takes.
func (c *crashTracker) setNodes(n int) { c.nodes.Store(int64(n)) }

// runLost records that the connection of a run broke, or that the run was rerouted
// around a dead stage.
func (c *crashTracker) runLost(r *run) {
	c.mu.Lock()
	defer c.unlock()
	r.lostAt = c.opts.Now()
	c.expireLostRuns(r.lostAt)
	c.lostRuns = append(c.lostRuns, r)
	c.doubts.Store(true)
	for _, id := range r.upstreams {
		c.lostByUpstream[id] = append(c.lostByUpstream[id], r)
		if dead, ok := c.diedAt[id]; ok && r.lostAt.Sub(dead) <= deathMatchWindow {
			c.blameLostRuns(r.lostAt, id, r.service, anyRun)
		} else if c.agreesWithReport(r, id) {
			c.blameLostRuns(r.lostAt, id, r.service, func(other *run) bool { return other == r })
		}
	}
}

// anyRun is a condition of blameLostRuns that all runs satisfy.
func anyRun(*run) bool { return true }

// agreesWithReport reports whether a lost run may have ended with its upstream as a peer has reported:
// it was lost about then, and the upstream has answered this node neither since nor after the report. A peer
// whose links are cut may take an upstream for dead that lives.
func (c *crashTracker) agreesWithReport(r *run, id ids.Instance) bool {
	death, reported := c.reported[id]
	answered := c.answeredAt[id]
	return reported && r.lostAt.Sub(death.at).Abs() <= deathMatchWindow && !answered.After(r.lostAt) && !answered.After(death.heardAt)
}

// upstreamAnswered records that an upstream lives.
func (c *crashTracker) upstreamAnswered(id ids.Instance) {
	if !c.doubts.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, reported := c.reported[id]; reported || len(c.lostByUpstream[id]) > 0 {
		c.answeredAt[id] = c.opts.Now()
	}
}

// expireLostRuns drops the lost runs that are older than lostRunTTL, and the oldest one
// if maxLostRuns are kept.
func (c *crashTracker) expireLostRuns(now time.Time) {
	for len(c.lostRuns) > 0 && (len(c.lostRuns) >= maxLostRuns || now.Sub(c.lostRuns[0].lostAt) > lostRunTTL) {
		old := c.lostRuns[0]
		c.lostRuns = c.lostRuns[1:]
		for _, id := range old.upstreams {
			rest := slices.DeleteFunc(c.lostByUpstream[id], func(r *run) bool { return r == old })
			if len(rest) == 0 {
				delete(c.lostByUpstream, id)
				continue
			}
			c.lostByUpstream[id] = rest
		}
	}
	isOld := func(at time.Time) bool { return now.Sub(at) > lostRunTTL }
	maps.DeleteFunc(c.diedAt, func(_ ids.Instance, at time.Time) bool { return isOld(at) })
	maps.DeleteFunc(c.answeredAt, func(_ ids.Instance, at time.Time) bool { return isOld(at) })
	maps.DeleteFunc(c.reported, func(_ ids.Instance, d reportedDeath) bool { return isOld(d.heardAt) })
	c.doubts.Store(len(c.lostRuns) > 0 || len(c.reported) > 0)
}

// upstreamDied attributes the death of an upstream to the runs lost there. It may be
// called more than once for the same death.
func (c *crashTracker) upstreamDied(u *directory.Upstream) {
	c.mu.Lock()
	defer c.unlock()
	now := c.opts.Now()
	c.expireLostRuns(now)
	if _, known := c.diedAt[u.ID]; !known {
		c.diedAt[u.ID] = now
		c.opts.Metrics.Add("upstream.died", 1)
	}
	c.blameLostRuns(now, u.ID, u.Service, anyRun)
}

// noteReportedDeaths attributes deaths that a peer has found to the runs lost there. This node may
// find them only after the keepers have decided without its runs.
func (c *crashTracker) noteReportedDeaths(now time.Time, service ids.Service, events []quarantine.Event) {
	c.expireLostRuns(now)
	for _, e := range events[:min(len(events), quarantine.DefaultMaxEvents)] {
		started, err := strconv.ParseInt(e.Epoch, 10, 64)
		if err != nil || e.Age > lostRunTTL {
			continue
		}
		id := ids.Instance{Upstream: e.Upstream, StartedMs: started}
		if _, known := c.reported[id]; known {
			continue
		}
		c.reported[id] = reportedDeath{at: now.Add(-max(e.Age, 0)), heardAt: now}
		c.doubts.Store(true)
		agrees := func(r *run) bool { return c.agreesWithReport(r, id) }
		if slices.ContainsFunc(c.lostByUpstream[id], agrees) {
			c.blameLostRuns(now, id, service, agrees)
		}
	}
}

// blameLostRuns reports a death to the detector, with the runs lost on that upstream that satisfy a
// condition. The upstream died at the latest when the first of them was lost.
func (c *crashTracker) blameLostRuns(now time.Time, id ids.Instance, service ids.Service, match func(*run) bool) {
	var blamed []quarantine.Run
	at := now
	for _, r := range c.lostByUpstream[id] {
		if !r.blamed && r.service == service && match(r) {
			r.blamed = true
			blamed = append(blamed, quarantine.Run{Fingerprint: r.fingerprint, Began: r.began, Started: r.started})
			for _, part := range r.parts {
				blamed = append(blamed, quarantine.Run{Fingerprint: part, Began: r.began, Started: r.started, Via: r.fingerprint})
			}
			if r.lostAt.Before(at) {
				at = r.lostAt
			}
		}
	}
	c.logBlamed(id, service, blamed)
	// A death without lost runs is reported too: it is evidence for a cause other than a
	// request.
	c.decider.RecordDeath(now, at, service, id.Upstream, strconv.FormatInt(id.StartedMs, 10), blamed)
}

// maxLoggedFingerprints bounds the fingerprints in one log line.
const maxLoggedFingerprints = 16

// logBlamed logs the runs that a death is blamed on.
func (c *crashTracker) logBlamed(id ids.Instance, service ids.Service, blamed []quarantine.Run) {
	if len(blamed) == 0 {
		return
	}
	shown := zerolog.Arr()
	for _, r := range blamed[:min(len(blamed), maxLoggedFingerprints)] {
		shown.Str(string(r.Fingerprint))
	}
	c.opts.Log.Info().Str("event", "upstream_died").Str("upstream", id.String()).Str("service", string(service)).
		Int("blamed", len(blamed)).Array("fingerprints", shown).Send()
}

// unlock releases the lock, and tells the node if its evidence has to go to its peers.
func (c *crashTracker) unlock() {
	due := c.decider.Due()
	c.mu.Unlock()
	if due {
		c.opts.OnEvidence()
	}
}

// hasDied reports whether an upstream has crashed lately.
func (c *crashTracker) hasDied(id ids.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, died := c.diedAt[id]
	return died
}

// update reads or changes the node's evidence and verdicts. duty names it in the account of the
// processor.
func (c *crashTracker) update(duty string, change func(now time.Time, d *quarantine.Decider)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.opts.Processor.Begin(duty)()
	c.decider.SetNodes(int(c.nodes.Load()))
	change(c.opts.Now(), c.decider)
}

// requestServed records that a request was answered completely, which clears it.
func (c *crashTracker) requestServed(service ids.Service, fingerprint quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.unlock()
	defer c.opts.Processor.Begin("crashes.record_success")()
	c.decider.RecordSuccess(c.opts.Now(), service, fingerprint)
}

// partsLived records that an upstream lived on after it had begun, at an earlier time, to write
// a response on some parts of prompts, which clears them.
func (c *crashTracker) partsLived(at time.Time, service ids.Service, parts []quarantine.Fingerprint) {
	if len(parts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.unlock()
	defer c.opts.Processor.Begin("crashes.record_success")()
	c.decider.RecordLived(at, service, parts)
}

// concerns reports whether there is a verdict on requests with a fingerprint, or evidence
// against them.
func (c *crashTracker) concerns(service ids.Service, fingerprint quarantine.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decider.Concerns(service, fingerprint)
}

// quarantined reports whether requests with a fingerprint are to be refused. newVerdict
// is set if this node has just reached that verdict itself, so that it can be published.
func (c *crashTracker) quarantined(service ids.Service, fingerprint quarantine.Fingerprint) (refused bool, newVerdict *quarantine.Verdict) {
	if !c.concerns(service, fingerprint) {
		return false, nil
	}
	role := c.opts.QuarantineRole(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.opts.Processor.Begin("crashes.check")()
	now := c.opts.Now()
	refused, finding, newVerdict := c.decider.Check(now, service, fingerprint, role)
	if finding.Ruling != quarantine.Unsuspected && (!refused || newVerdict != nil) {
		c.logFinding(now, service, fingerprint, finding)
	}
	return refused, newVerdict
}

// holdUntil returns the time until which a request has to wait before it is sent, zero for
// none. draw is a random number in [0, 1), the same for each call for the request.
func (c *crashTracker) holdUntil(service ids.Service, fingerprint quarantine.Fingerprint, draw float64) time.Time {
	if !c.concerns(service, fingerprint) {
		return time.Time{}
	}
	role := c.opts.QuarantineRole(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decider.HoldUntil(c.opts.Now(), service, fingerprint, role, draw)
}

// logFinding logs the finding about a suspect.
func (c *crashTracker) logFinding(now time.Time, service ids.Service, fingerprint quarantine.Fingerprint, f quarantine.Finding) {
	c.opts.Log.Info().Str("event", "suspect_assessed").Str("fingerprint", string(fingerprint)).Str("service", string(service)).
		Str("ruling", string(f.Ruling)).Int("upstreams", f.Upstreams).Int("deaths", f.Deaths).Int("all_deaths", f.AllDeaths).Str("rival", string(f.Rival)).
		Dur("age_ms", now.Sub(f.Last)).Send()
}

// addReport applies a peer's evidence.
func (c *crashTracker) addReport(r quarantine.Report) {
	c.opts.Log.Info().Str("event", "crash_report").Str("service", string(r.Service)).Str("peer", string(r.From)).
		Bool("announced", r.Announced).Int("evidence", len(r.Events)).Send()
	c.mu.Lock()
	defer c.unlock()
	defer c.opts.Processor.Begin("crashes.add_report")()
	now := c.opts.Now()
	c.decider.AddReport(now, r)
	c.noteReportedDeaths(now, r.Service, r.Events)
}

// addPeerVerdict applies a verdict received from a peer.
func (c *crashTracker) addPeerVerdict(v quarantine.Verdict) {
	c.mu.Lock()
	defer c.unlock()
	defer c.opts.Processor.Begin("crashes.add_verdict")()
	now := c.opts.Now()
	c.decider.AddVerdict(now, v)
	c.noteReportedDeaths(now, v.Service, v.Evidence)
}
