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
}

// newCrashTracker returns a tracker without evidence.
func newCrashTracker(o Options) *crashTracker {
	return &crashTracker{
		opts:           o,
		decider:        quarantine.NewDecider(),
		lostByUpstream: make(map[ids.Instance][]*run),
		diedAt:         make(map[ids.Instance]time.Time),
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
	for _, id := range r.upstreams {
		c.lostByUpstream[id] = append(c.lostByUpstream[id], r)
		if dead, ok := c.diedAt[id]; ok && r.lostAt.Sub(dead) <= deathMatchWindow {
			c.blameLostRuns(r.lostAt, id, r.service)
		}
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
}

// upstreamDied attributes the death of an upstream to the runs lost there. It may be
// called more than once for the same death.
func (c *crashTracker) upstreamDied(u *directory.Upstream) {
	c.mu.Lock()
	defer c.unlock()
	now := c.opts.Now()
	c.expireLostRuns(now)
	c.noteDeath(now, u.ID, now)
	c.blameLostRuns(now, u.ID, u.Service)
}

// noteDeath records when an upstream died, unless that is known already, and drops old deaths.
func (c *crashTracker) noteDeath(now time.Time, id ids.Instance, at time.Time) {
	maps.DeleteFunc(c.diedAt, func(_ ids.Instance, at time.Time) bool { return now.Sub(at) > lostRunTTL })
	if _, known := c.diedAt[id]; !known {
		c.diedAt[id] = at
		c.opts.Metrics.Add("upstream.died", 1)
	}
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
		if _, known := c.diedAt[id]; known {
			continue
		}
		c.noteDeath(now, id, now.Add(-max(e.Age, 0)))
		if len(c.lostByUpstream[id]) > 0 {
			c.blameLostRuns(now, id, service)
		}
	}
}

// blameLostRuns reports a death to the detector, with the runs lost on that upstream. The
// upstream died at the latest when the first of them was lost.
func (c *crashTracker) blameLostRuns(now time.Time, id ids.Instance, service ids.Service) {
	var blamed []quarantine.Run
	at := now
	for _, r := range c.lostByUpstream[id] {
		if !r.blamed && r.service == service {
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
