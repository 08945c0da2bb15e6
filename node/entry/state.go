package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/routing"
)

// holder names this process for the lease: unique across restarts.
func holder(s Settings) string { return fmt.Sprintf("%s-%x", s.VM, s.Seed) }

// notice wakes all who wait for something new.
type notice struct {
	mu sync.Mutex
	ch chan struct{}
}

// newNotice makes a notice.
func newNotice() *notice { return &notice{ch: make(chan struct{})} }

// next gives a channel that is closed with the next change.
func (n *notice) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

// give tells of a change.
func (n *notice) give() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}

// contact is when the store last answered about one collection.
type contact struct {
	heard atomic.Pointer[sighting]
	// waits tells that a watch waits at the store.
	waits atomic.Bool
}

// sighting is an answer of the store that this node knows of.
type sighting struct {
	at time.Time
	// hops counts the nodes through which it came.
	hops int
}

// storeAnswered notes an answer to this node.
func (c *contact) storeAnswered() { c.heard.Store(&sighting{at: boottime.Now()}) }

// probed notes that the store answers this node: a watch that waits there would tell of
// changes.
func (c *contact) probed() {
	if c.waits.Load() {
		c.storeAnswered()
	}
}

// peerAnswered notes the answer of a peer that the store answered that long ago,
// over so many hops.
func (c *contact) peerAnswered(age time.Duration, hops int) {
	c.heard.Store(&sighting{at: boottime.Now().Add(-age), hops: hops})
}

// never is the age of a collection that the store never told of.
const never = time.Hour

// age gives the time since the sighting, which may be nil for none.
func (s *sighting) age(now time.Time) time.Duration {
	if s == nil {
		return never
	}
	return now.Sub(s.at)
}

// age gives the time since the store's last answer that this node knows of, and
// the hops over which it came.
func (c *contact) age(now time.Time) (time.Duration, int) {
	last := c.heard.Load()
	if last == nil {
		return never, 0
	}
	return last.age(now), last.hops
}

// configs is the configuration in force. It only goes forward.
type configs struct {
	contact
	log  zerolog.Logger
	news *notice
	// revision is the store's up to which changes are known.
	revision atomic.Int64
	table    atomic.Pointer[routing.Table]
	// inForce is told of the services of each configuration that comes in force.
	inForce func([]ids.Service)
	// malformed is told of configurations that cannot be read.
	malformed func(listwatch.Removal)
	newest    atomic.Pointer[edition]
	lost      atomic.Bool
	mu        sync.Mutex
}

// Listed implements listwatch.Sink.
func (c *configs) Listed(list listwatch.List[routing.Config]) {
	for _, bad := range list.Malformed {
		c.malformed(bad)
	}
	for i := range list.Items {
		c.offer(&list.Items[i], fromStore)
	}
	c.revision.Store(list.Revision)
}

// Changed implements listwatch.Sink.
func (c *configs) Changed(changes listwatch.Changes[routing.Config]) {
	for _, e := range changes.Events {
		switch {
		case e.Put != nil:
			c.offer(e.Put, fromStore)
		case e.Removed.Malformed != nil:
			c.malformed(e.Removed)
		}
	}
	c.revision.Store(changes.Revision)
}

// Failed implements listwatch.Sink. Peers that wait here are told at once.
func (c *configs) Failed(error) {
	if !c.lost.Swap(true) {
		c.news.give()
	}
}

// Recovered implements listwatch.Sink.
func (c *configs) Recovered() { c.lost.Store(false) }

// offer puts a configuration in force if it is newer and valid.
func (c *configs) offer(config *routing.Config, from origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.table.Load(); now != nil && now.Version() >= config.Version {
		return
	}
	table, err := routing.Build(*config)
	if err != nil {
		from.log(c.log.Error().Str("event", "configuration_refused")).Int64("version", config.Version).Err(err).Send()
		return
	}
	c.newest.Store(&edition{config: config, packed: sync.OnceValue(func() relay.Packed { return c.pack(config) })})
	c.table.Store(table)
	c.inForce(table.ServiceNames())
	c.news.give()
	from.log(c.log.Info().Str("event", "configuration")).Int64("version", config.Version).
		Int("routes", len(config.Routes)).Int("accounts", len(config.Accounts)).Send()
}

// edition is a configuration with what peers get of it, made when the first asks.
type edition struct {
	config *routing.Config
	packed func() relay.Packed
}

// tell adds the configuration to the news of an asker.
func (e *edition) tell(news *relay.Update, unpacks bool) {
	if unpacks {
		news.Packed = e.packed()
	}
	if news.Packed == nil {
		news.Config = e.config
	}
}

// pack packs a configuration; nil, so that it is told as it is, if it cannot be.
func (c *configs) pack(config *routing.Config) relay.Packed {
	packed, err := relay.Pack(config)
	if err != nil {
		c.log.Error().Str("event", "configuration_not_packed").Int64("version", config.Version).Err(err).Send()
		return nil
	}
	return packed
}

// version gives the version in force, 0 for none.
func (c *configs) version() int64 {
	if table := c.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// upstreams is the directory. Its goroutines take turns by mu.
type upstreams struct {
	contact
	// holder names this process to peers.
	holder string
	log    zerolog.Logger
	news   *notice
	// gone is told of upstreams that went.
	gone func(*directory.Upstream)
	// reached is told when the store is heard of again after it was lost.
	reached func()
	// malformed is told of entries that cannot be read.
	malformed func(listwatch.Removal)
	view      atomic.Pointer[directory.View]
	lost      atomic.Bool

	mu        sync.Mutex
	directory *directory.Directory
	// bases are the states of peers that were last taken over.
	bases map[ids.VM]relay.Base
	// graced tells that a peer told of the directory since the store was lost.
	graced bool
	// heardBefore is the last answer of the store before it was lost, nil for none.
	heardBefore *sighting
}

// newUpstreams makes an empty directory.
func newUpstreams(holder string, log zerolog.Logger, news *notice) *upstreams {
	u := &upstreams{holder: holder, log: log, news: news, directory: directory.New(), bases: make(map[ids.VM]relay.Base)}
	u.view.Store(u.directory.View())
	return u
}

// Listed implements listwatch.Sink.
func (u *upstreams) Listed(list listwatch.List[directory.Upstream]) {
	u.change(fromStore, func(d *directory.Directory, now time.Time) []directory.Change {
		var all []directory.Change
		for _, bad := range list.Malformed {
			u.malformed(bad)
			all = append(all, d.Invalidate(ids.Upstream(bad.Name), bad.Revision)...)
		}
		return append(all, d.Replace(now, list.Items, list.Revision)...)
	})
}

// Changed implements listwatch.Sink.
func (u *upstreams) Changed(changes listwatch.Changes[directory.Upstream]) {
	u.change(fromStore, func(d *directory.Directory, now time.Time) []directory.Change {
		var all []directory.Change
		for _, e := range changes.Events {
			id := ids.Upstream(e.Removed.Name)
			switch {
			case e.Put != nil:
				all = append(all, d.Put(*e.Put)...)
			case e.Removed.Malformed != nil:
				u.malformed(e.Removed)
				all = append(all, d.Invalidate(id, e.Removed.Revision)...)
			default:
				all = append(all, d.Remove(now, id, e.Removed.Revision)...)
			}
		}
		return all
	})
}

// maxBases bounds the peers whose states are remembered; a node asks two in turn,
// and others while one of these does not answer.
const maxBases = 16

// merge takes a peer's news, asked for at a moment.
func (u *upstreams) merge(peer ids.VM, news relay.Update, asked time.Time) {
	u.change(fromPeer(peer, &news, asked), func(d *directory.Directory, now time.Time) []directory.Change {
		if news.Revision < d.Revision() {
			return nil
		}
		if u.lost.Load() && !u.graced {
			// Upstreams that were cut off from the store together with this
			// node are missing from what others know.
			d.RegistryRecovered(now, u.heardBefore.age(now))
			u.graced = true
			u.reached()
		}
		if len(u.bases) >= maxBases {
			clear(u.bases)
		}
		u.bases[peer] = news.Base
		if news.Delta {
			return d.Update(now, news.Upstreams, news.Gone, news.Revision)
		}
		return d.Merge(now, news.Upstreams, news.Present, news.Revision)
	})
}

// have tells a peer what is here.
func (u *upstreams) have(peer ids.VM) relay.UpdateRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return relay.UpdateRequest{Revision: u.directory.Revision(), Base: u.bases[peer], Want: relay.WantUpstreams}
}

// tell adds to the news what an asker does not have.
func (u *upstreams) tell(news *relay.Update, have relay.UpdateRequest) {
	view := u.view.Load()
	var changed []*directory.Upstream
	known := have.Base.Process == u.holder
	if known {
		changed, news.Gone, news.Delta = view.Since(have.Base.Mark)
	}
	// One without a base may lack what has no revision, as the end of a grace.
	nothing := known && len(changed)+len(news.Gone) == 0
	if view.Revision < have.Revision || view.Revision == have.Revision && nothing {
		return
	}
	news.Revision, news.Base = view.Revision, relay.Base{Process: u.holder, Mark: view.Mark}
	if news.Delta {
		news.Upstreams = values(changed)
		return
	}
	for _, one := range view.All() {
		news.Present = append(news.Present, one.ID.Upstream)
		if one.Revision > have.Revision {
			news.Upstreams = append(news.Upstreams, *one)
		}
	}
}

// restarted takes what a process says of its own start.
func (u *upstreams) restarted(life ids.Instance) {
	u.change(origin{from: "report"}, func(d *directory.Directory, _ time.Time) []directory.Change { return d.Restarted(life) })
}

// configured takes the services of the configuration in force.
func (u *upstreams) configured(services []ids.Service) {
	u.change(origin{from: "configuration"}, func(d *directory.Directory, _ time.Time) []directory.Change { return d.SetServices(services) })
}

// values copies upstreams out of a view.
func values(list []*directory.Upstream) []directory.Upstream {
	var out []directory.Upstream
	for _, u := range list {
		out = append(out, *u)
	}
	return out
}

// Failed implements listwatch.Sink. Peers that wait here are told at once.
func (u *upstreams) Failed(error) {
	if u.lost.Load() {
		return
	}
	u.mu.Lock()
	u.heardBefore = u.heard.Load()
	u.mu.Unlock()
	u.lost.Store(true)
	u.news.give()
}

// Recovered implements listwatch.Sink.
func (u *upstreams) Recovered() {
	u.lost.Store(false)
	u.change(fromStore, func(d *directory.Directory, now time.Time) []directory.Change {
		if !u.graced {
			u.reached()
		}
		u.graced = false
		d.RegistryRecovered(now, u.heardBefore.age(now))
		return nil
	})
}

// expiry is the time between two looks at entries that are missing.
const expiry = 100 * time.Millisecond

// expire removes missing entries whose time is over, until ctx ends.
func (u *upstreams) expire(ctx context.Context) {
	every.Do(ctx, expiry, func() {
		u.change(origin{from: "expired"}, func(d *directory.Directory, now time.Time) []directory.Change { return d.Expire(now) })
	})
}

// change changes the directory and publishes its new view.
func (u *upstreams) change(from origin, apply func(*directory.Directory, time.Time) []directory.Change) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before, mark := u.directory.Revision(), u.directory.Mark()
	changes := apply(u.directory, boottime.Now())
	if u.directory.Mark() == mark && u.directory.Revision() == before {
		return
	}
	u.view.Store(u.directory.View())
	u.news.give()
	for _, c := range changes {
		from.log(u.log.Info().Str("event", "upstream_"+string(c.Kind))).Str("upstream", c.Upstream.ID.String()).
			Str("service", string(c.Upstream.Service)).Str("address", c.Upstream.Address).Str("zone", string(c.Upstream.Zone)).
			Str("layers", c.Upstream.Layers.String()).Int64("revision", u.directory.Revision()).Send()
		if c.Kind == directory.Removed {
			u.gone(c.Upstream)
		}
	}
}
