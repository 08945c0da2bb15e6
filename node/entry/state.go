package entry

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/processor"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/routing"
)

// processID identifies this process as a lease holder and to peers. It is
// unique across restarts.
func processID(s Settings) string { return fmt.Sprintf("%s-%x", s.VM, s.Seed) }

// notifier wakes all goroutines that wait for a change of the node's state.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// newNotifier creates a notifier.
func newNotifier() *notifier { return &notifier{ch: make(chan struct{})} }

// next returns a channel that is closed at the next change.
func (n *notifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

// notify wakes all waiting goroutines.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}

// storeContact records the store's last known answer about one collection.
type storeContact struct {
	lastAnswer atomic.Pointer[storeAnswer]
	// watching is set while a watch of the collection is waiting at the store.
	watching atomic.Bool
}

// storeAnswer describes an answer of the store to this node or to a peer.
type storeAnswer struct {
	at time.Time
	// hops counts the nodes that passed the answer on to this one.
	hops int
}

// storeAnswered records that the store answered this node just now.
func (c *storeContact) storeAnswered() { c.lastAnswer.Store(&storeAnswer{at: boottime.Now()}) }

// probeAnswered records that the store answered a probe. If a watch is waiting,
// the answer shows that nothing has changed, because the store would have
// reported a change to the watch. So it counts as an answer to the watch.
func (c *storeContact) probeAnswered() {
	if c.watching.Load() {
		c.storeAnswered()
	}
}

// peerAnswered records a peer's report of the age of the store's last answer
// and of the number of hops that it took.
func (c *storeContact) peerAnswered(age time.Duration, hops int) {
	c.lastAnswer.Store(&storeAnswer{at: boottime.Now().Add(-age), hops: hops})
}

// neverAnsweredAge is the reported age of a collection about which no answer of
// the store is known.
const neverAnsweredAge = time.Hour

// age returns the time since the answer, or neverAnsweredAge if s is nil.
func (s *storeAnswer) age(now time.Time) time.Duration {
	if s == nil {
		return neverAnsweredAge
	}
	return now.Sub(s.at)
}

// age returns the time since the store's last known answer and the number of
// hops that it took.
func (c *storeContact) age(now time.Time) (time.Duration, int) {
	last := c.lastAnswer.Load()
	if last == nil {
		return neverAnsweredAge, 0
	}
	return last.age(now), last.hops
}

// configs holds the active configuration. Its version only increases.
type configs struct {
	storeContact
	log     zerolog.Logger
	updates *notifier
	// processor measures how long it takes to apply a configuration.
	processor *processor.Monitor
	// included is the store's revision up to which changes are included, nil before the
	// first list.
	included atomic.Pointer[revision.Revision]
	table    atomic.Pointer[routing.Table]
	// onActivated is called with the services of each configuration that
	// becomes active.
	onActivated func([]ids.Service)
	// onMalformed is called for each configuration that cannot be decoded.
	onMalformed func(listwatch.Removal)
	// newest is the active configuration in the form that peers receive.
	// disconnected is set while the configuration cannot be followed. mu
	// serializes apply.
	newest       atomic.Pointer[packableConfig]
	disconnected atomic.Bool
	mu           sync.Mutex
}

// Listed implements listwatch.Sink.
func (c *configs) Listed(list listwatch.List[routing.Config]) {
	for _, bad := range list.Malformed {
		c.onMalformed(bad)
	}
	for i := range list.Items {
		c.apply(&list.Items[i], list.Revision.Epoch, fromStore)
	}
	c.include(list.Revision)
}

// include records the store's revision up to which changes are included.
func (c *configs) include(at revision.Revision) { c.included.Store(&at) }

// revision returns the store's revision up to which changes are included, or zero before
// the first list.
func (c *configs) revision() revision.Revision {
	if included := c.included.Load(); included != nil {
		return *included
	}
	return revision.Revision{}
}

// Changed implements listwatch.Sink.
func (c *configs) Changed(changes listwatch.Changes[routing.Config]) {
	for _, e := range changes.Events {
		switch {
		case e.Put != nil:
			c.apply(e.Put, changes.Revision.Epoch, fromStore)
		case e.Removed.Malformed != nil:
			c.onMalformed(e.Removed)
		}
	}
	c.include(changes.Revision)
}

// Failed implements listwatch.Sink. It wakes waiting peers so that they can ask
// another node.
func (c *configs) Failed(error) {
	if !c.disconnected.Swap(true) {
		c.updates.notify()
	}
}

// Recovered implements listwatch.Sink.
func (c *configs) Recovered() { c.disconnected.Store(false) }

// apply activates a configuration that was read in an epoch of the store, if it is valid
// and newer than the active one. The version decides. A store that was restored from an
// older copy may have lost the active version; it stays active until a higher one, or
// another content of the same version in a later epoch, is accepted.
func (c *configs) apply(config *routing.Config, epoch int64, from origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if active := c.newest.Load(); active != nil && !active.isReplacedBy(config, epoch) {
		c.keep(active, config, epoch, from)
		return
	}
	defer c.processor.Begin("configuration.apply")()
	table, err := routing.Build(*config)
	if err != nil {
		from.addTo(c.log.Error().Str("event", "configuration_refused")).Int64("version", config.Version).Err(err).Send()
		return
	}
	c.newest.Store(&packableConfig{config: config, epoch: epoch, packed: sync.OnceValue(func() relay.Packed { return c.pack(config) })})
	c.table.Store(table)
	c.onActivated(table.ServiceNames())
	c.updates.notify()
	from.addTo(c.log.Info().Str("event", "configuration")).Int64("version", config.Version).Int64("epoch", epoch).
		Int("routes", len(config.Routes)).Int("accounts", len(config.Accounts)).Send()
}

// keep keeps the active configuration in place of an older or equal one.
func (c *configs) keep(active *packableConfig, other *routing.Config, epoch int64, from origin) {
	switch {
	case epoch <= active.epoch:
	case other.Version < active.config.Version:
		from.addTo(c.log.Warn().Str("event", "configuration_older")).Int64("version", other.Version).Int64("epoch", epoch).
			Int64("active", active.config.Version).Send()
	case from.peer != "":
		// With the peer's epoch the node is not sent the same content again.
		same := *active
		same.epoch = epoch
		c.newest.Store(&same)
	}
}

// packableConfig is a configuration and its packed form for peers, which is
// created on first use.
type packableConfig struct {
	config *routing.Config
	// epoch is the store's epoch in which the content was read.
	epoch  int64
	packed func() relay.Packed
}

// isReplacedBy reports whether another configuration, read in an epoch of the store,
// is newer.
func (p *packableConfig) isReplacedBy(other *routing.Config, epoch int64) bool {
	if other.Version != p.config.Version {
		return other.Version > p.config.Version
	}
	return epoch > p.epoch && !reflect.DeepEqual(other, p.config)
}

// isNewerThan reports whether the configuration is newer than that of a version which
// was read in an epoch of the store.
func (p *packableConfig) isNewerThan(version, epoch int64) bool {
	return p.config.Version > version || p.config.Version == version && p.epoch > epoch
}

// addTo adds the configuration to an update for a peer, packed if the peer
// accepts that.
func (p *packableConfig) addTo(update *relay.Update, acceptsPacked bool) {
	update.ConfigEpoch = p.epoch
	if acceptsPacked {
		update.Packed = p.packed()
	}
	if update.Packed == nil {
		update.Config = p.config
	}
}

// pack returns the packed form of a configuration. It returns nil after an
// error, so that the configuration is sent unpacked.
func (c *configs) pack(config *routing.Config) relay.Packed {
	packed, err := relay.Pack(config)
	if err != nil {
		c.log.Error().Str("event", "configuration_not_packed").Int64("version", config.Version).Err(err).Send()
		return nil
	}
	return packed
}

// version returns the version of the active configuration and the epoch of the store in
// which it was read, or 0 if there is none.
func (c *configs) version() (version, epoch int64) {
	if active := c.newest.Load(); active != nil {
		return active.config.Version, active.epoch
	}
	return 0, 0
}

// upstreams holds the directory of upstreams. mu serializes its changes.
type upstreams struct {
	storeContact
	// process identifies this process to peers.
	process string
	log     zerolog.Logger
	updates *notifier
	// processor measures how long it takes to apply changes.
	processor *processor.Monitor
	// onRemoved is called for each upstream that was removed.
	onRemoved func(*directory.Upstream)
	// onStoreRecovered is called when the store's state arrives again, from a
	// peer or from the store itself, after the connection was lost.
	onStoreRecovered func()
	// onMalformed is called for each entry that cannot be decoded.
	onMalformed func(listwatch.Removal)
	// onEpoch is called when the directory enters a later epoch of the store.
	onEpoch func(epochChange)
	view    atomic.Pointer[directory.View]
	// disconnected is set while the directory cannot be followed.
	disconnected atomic.Bool

	mu        sync.Mutex
	directory *directory.Directory
	// bases holds, for each peer, the state of the peer's directory that was
	// last merged.
	bases map[ids.VM]peerBase
	// heardFromPeer is set when a peer's directory was merged since
	// disconnected was set.
	heardFromPeer bool
	// lastBeforeDisconnect is the last answer of the store before disconnected
	// was set, or nil if there was none.
	lastBeforeDisconnect *storeAnswer
}

// peerBase is the state of a peer's directory that was last merged, with its revision.
type peerBase struct {
	relay.Base
	revision revision.Revision
}

// newUpstreams returns an empty directory.
func newUpstreams(process string, log zerolog.Logger, updates *notifier) *upstreams {
	u := &upstreams{process: process, log: log, updates: updates, directory: directory.New(), bases: make(map[ids.VM]peerBase)}
	u.view.Store(u.directory.View())
	return u
}

// Listed implements listwatch.Sink.
func (u *upstreams) Listed(list listwatch.List[directory.Upstream]) {
	u.update(fromStore, func(d *directory.Directory, now time.Time) []directory.Change {
		if list.Revision.Before(d.Revision()) {
			u.logIgnored("list", list.Revision, d).Send()
		}
		all := d.Replace(now, list.Items, list.Revision)
		for _, bad := range list.Malformed {
			u.onMalformed(bad)
			all = append(all, d.Invalidate(now, ids.Upstream(bad.Name), bad.Revision)...)
		}
		return all
	})
}

// logIgnored starts a log line about an answer of the store that is ignored because the
// directory d has a higher revision.
func (u *upstreams) logIgnored(what string, at revision.Revision, d *directory.Directory) *zerolog.Event {
	return u.log.Warn().Str("event", "answer_ignored").Str("kind", upstreamCollection).Str("answer", what).
		Stringer("revision", at).Stringer("known", d.Revision())
}

// Changed implements listwatch.Sink.
func (u *upstreams) Changed(changes listwatch.Changes[directory.Upstream]) {
	u.update(fromStore, func(d *directory.Directory, now time.Time) []directory.Change {
		var all []directory.Change
		for _, e := range changes.Events {
			id := ids.Upstream(e.Removed.Name)
			switch {
			case e.Put != nil:
				all = append(all, d.Put(now, *e.Put)...)
			case e.Removed.Malformed != nil:
				u.onMalformed(e.Removed)
				all = append(all, d.Invalidate(now, id, e.Removed.Revision)...)
			default:
				if known := d.EntryRevision(id); known.After(e.Removed.Revision) {
					u.logIgnored("removal", e.Removed.Revision, d).Str("upstream", e.Removed.Name).Stringer("entry_revision", known).Send()
				}
				all = append(all, d.Remove(now, id, e.Removed.Revision)...)
			}
		}
		return all
	})
}

// maxBases limits the number of peers whose states are remembered. A node
// normally asks two peers in turn, and others if one of them does not answer.
const maxBases = 16

// merge applies a peer's update. askedAt is the time at which the peer was
// asked.
func (u *upstreams) merge(peer ids.VM, update relay.Update, askedAt time.Time) {
	u.update(fromPeer(peer, &update, askedAt), func(d *directory.Directory, now time.Time) []directory.Change {
		if update.Revision.Before(d.Revision()) {
			return nil
		}
		if update.Delta && update.Revision.Epoch != d.Revision().Epoch {
			// The changes are those to a state of another epoch. The next update is whole.
			delete(u.bases, peer)
			return nil
		}
		if u.disconnected.Load() && !u.heardFromPeer {
			// Upstreams that lost the store together with this node are missing
			// from the peer's directory, but may still be running.
			d.RegistryRecovered(now, u.lastBeforeDisconnect.age(now))
			u.heardFromPeer = true
			u.onStoreRecovered()
		}
		since := u.bases[peer].revision
		if len(u.bases) >= maxBases {
			clear(u.bases)
		}
		u.bases[peer] = peerBase{update.Base, update.Revision}
		var unsettled directory.Unsettled
		if update.Unsettled != nil {
			unsettled = *update.Unsettled
		} else {
			since = revision.Revision{}
		}
		if update.Delta {
			return d.Update(now, directory.Delta{Since: since, At: update.Revision, Changed: update.Upstreams, Gone: update.Gone, Unsettled: unsettled})
		}
		return d.Merge(now, update.Upstreams, update.Present, unsettled, update.Revision)
	})
}

// updateRequest returns the request to a peer for changes of the directory.
func (u *upstreams) updateRequest(peer ids.VM) relay.UpdateRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return relay.UpdateRequest{Revision: u.directory.Revision(), Base: u.bases[peer].Base, Want: relay.WantUpstreams}
}

// addTo adds the changes that the asking peer does not have to an update.
func (u *upstreams) addTo(update *relay.Update, req relay.UpdateRequest) {
	view := u.view.Load()
	var changed []*directory.Upstream
	var unsettled directory.Unsettled
	sameEpoch := req.Revision.Epoch == view.Revision.Epoch
	known := sameEpoch && req.Base.Process == u.process
	if known {
		changed, update.Gone, unsettled, update.Delta = view.Since(req.Base.Mark)
	}
	// A peer without a known base may also lack changes that have no revision of
	// their own, such as the end of a removal grace period.
	nothing := update.Delta && len(changed)+len(update.Gone)+len(unsettled.Missing)+len(unsettled.Outdated) == 0
	if view.Revision.Before(req.Revision) || view.Revision == req.Revision && nothing {
		return
	}
	update.Revision, update.Base = view.Revision, relay.Base{Process: u.process, Mark: view.Mark}
	if !update.Delta {
		changed, update.Present, unsettled = view.After(req.Revision)
	}
	update.Upstreams, update.Unsettled = copyUpstreams(changed), &unsettled
}

// recordRestart applies a process's own report that it has restarted as the
// given instance.
func (u *upstreams) recordRestart(instance ids.Instance) {
	u.update(origin{from: "report"}, func(d *directory.Directory, _ time.Time) []directory.Change { return d.Restarted(instance) })
}

// recordLeaving applies an upstream's own word that it is leaving. It reports whether that is
// news.
func (u *upstreams) recordLeaving(instance ids.Instance) (news bool) {
	if known := u.view.Load().Get(instance); known != nil && known.Leaving {
		return false
	}
	u.update(origin{from: "response"}, func(d *directory.Directory, _ time.Time) []directory.Change { return d.SaidLeaving(instance) })
	return true
}

// toldLeaving applies a peer's notice that an upstream has said that it is leaving.
func (u *upstreams) toldLeaving(instance ids.Instance) {
	u.update(origin{from: "notice"}, func(d *directory.Directory, _ time.Time) []directory.Change { return d.ToldLeaving(instance) })
}

// leavingConfirmed reports whether a source other than the upstream itself has said that it
// is leaving, or it has gone.
func (u *upstreams) leavingConfirmed(instance ids.Instance) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.directory.LeavingConfirmed(instance)
}

// setServices applies the services of the active configuration.
func (u *upstreams) setServices(services []ids.Service) {
	u.update(origin{from: "configuration"}, func(d *directory.Directory, _ time.Time) []directory.Change { return d.SetServices(services) })
}

// copyUpstreams copies upstreams of a view.
func copyUpstreams(list []*directory.Upstream) []directory.Upstream {
	var out []directory.Upstream
	for _, u := range list {
		out = append(out, *u)
	}
	return out
}

// Failed implements listwatch.Sink. It wakes waiting peers so that they can ask
// another node.
func (u *upstreams) Failed(error) {
	if u.disconnected.Load() {
		return
	}
	u.mu.Lock()
	u.lastBeforeDisconnect = u.lastAnswer.Load()
	u.mu.Unlock()
	u.disconnected.Store(true)
	u.updates.notify()
}

// Recovered implements listwatch.Sink.
func (u *upstreams) Recovered() {
	u.disconnected.Store(false)
	u.update(fromStore, func(d *directory.Directory, now time.Time) []directory.Change {
		if !u.heardFromPeer {
			u.onStoreRecovered()
		}
		u.heardFromPeer = false
		d.RegistryRecovered(now, u.lastBeforeDisconnect.age(now))
		return nil
	})
}

// expireInterval is the interval between checks for missing entries whose
// removal grace period has ended.
const expireInterval = 100 * time.Millisecond

// expire removes missing entries at the end of their removal grace period,
// until ctx ends.
func (u *upstreams) expire(ctx context.Context) {
	every.Do(ctx, expireInterval, func() {
		u.update(origin{from: "expired"}, func(d *directory.Directory, now time.Time) []directory.Change { return d.Expire(now) })
	})
}

// update changes the directory, publishes its new view, wakes waiting peers and
// logs the changes.
func (u *upstreams) update(from origin, apply func(*directory.Directory, time.Time) []directory.Change) {
	u.mu.Lock()
	defer u.mu.Unlock()
	defer u.processor.Begin("directory.apply")()
	before, mark := u.directory.Revision(), u.directory.Mark()
	changes := apply(u.directory, boottime.Now())
	if u.directory.Mark() == mark && u.directory.Revision() == before {
		return
	}
	u.view.Store(u.directory.View())
	u.updates.notify()
	if after := u.directory.Revision(); after.Epoch != before.Epoch && !before.IsZero() {
		u.onEpoch(epochChange{before: before, after: after, missing: u.directory.Missing(), deferred: u.directory.Deferred(), from: from})
	}
	for _, c := range changes {
		from.addTo(u.log.Info().Str("event", "upstream_"+string(c.Kind))).Str("upstream", c.Upstream.ID.String()).
			Str("service", string(c.Upstream.Service)).Str("address", c.Upstream.Address).Str("zone", string(c.Upstream.Zone)).
			Str("layers", c.Upstream.Layers.String()).Stringer("revision", u.directory.Revision()).Send()
		if c.Kind == directory.Removed {
			u.onRemoved(c.Upstream)
		}
	}
}
