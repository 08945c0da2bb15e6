package detour

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/detour"
	"mimosaarch.example/decide/roster"
)

// Options configure a Dialer. All fields are required.
type Options struct {
	// Zone is the node's own zone.
	Zone ids.Zone
	// Direct opens connections over this node's own links.
	Direct upconn.DialFunc
	// Now is the clock of decide/detour.
	Now func() time.Time
	Log zerolog.Logger
	// Count adds to a counter.
	Count func(name string, n int64)
	// OnLinksLost is called when the node is found to reach no upstream over its own links,
	// although peers do. It must not block.
	OnLinksLost func()
	// Seed seeds the choice of peers.
	Seed uint64
}

// Dialer opens connections to upstreams, through a peer where this node's own links fail. Its
// methods are safe for concurrent use.
type Dialer struct {
	opts Options
	// heard counts the reads of bytes that came directly from upstreams, and lostMark is
	// its value when the links to all upstreams were last found lost.
	heard, lostMark atomic.Int64

	mu    sync.Mutex
	table *detour.Table
	// silentMarks holds the value of heard when a direct attempt to an upstream last timed
	// out although a peer connected.
	silentMarks map[ids.Instance]int64
}

// NewDialer returns a Dialer that knows no peers yet.
func NewDialer(o Options) *Dialer {
	return &Dialer{opts: o, table: detour.New(o.Zone, o.Seed), silentMarks: make(map[ids.Instance]int64)}
}

// SetPeers replaces the list of the other nodes.
func (d *Dialer) SetPeers(peers []roster.Member) {
	d.update(func(_ time.Time, t *detour.Table) { t.SetPeers(peers) })
}

// Forget drops the state of an upstream that has been removed.
func (d *Dialer) Forget(id ids.Instance) {
	d.update(func(_ time.Time, t *detour.Table) {
		t.Forget(id)
		delete(d.silentMarks, id)
	})
}

// LinksLost reports whether the node reaches no upstream over its own links, although peers
// do.
func (d *Dialer) LinksLost() (lost bool) {
	d.update(func(_ time.Time, t *detour.Table) { lost = t.LinksLost() })
	return lost
}

// update reads or changes the table under the lock.
func (d *Dialer) update(change func(now time.Time, t *detour.Table)) {
	now := d.opts.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	change(now, d.table)
}

// DialDirect is an upconn.DialFunc that uses only this node's own links.
func (d *Dialer) DialDirect(ctx context.Context, t upconn.Target) (upconn.NetConn, error) {
	conn, err := d.opts.Direct(ctx, t)
	if err != nil {
		return nil, err
	}
	var restored bool
	d.update(func(_ time.Time, table *detour.Table) { restored = table.Connected(t.ID) })
	if restored {
		d.opts.Log.Info().Str("event", "links_restored").Str("upstream", t.ID.String()).Str("address", t.Address).Send()
	}
	return &directConn{NetConn: conn, dialer: d, target: t, heardAt: d.heard.Add(1)}, nil
}

// Dial is an upconn.DialFunc. If the direct attempt fails or is slow, it asks up to
// detour.MaxPeers peers to connect. The upstream counts as refusing connections if a peer says
// so that reaches other upstreams. If no peer answers, the direct attempt alone decides.
func (d *Dialer) Dial(ctx context.Context, t upconn.Target) (upconn.NetConn, error) {
	var plan detour.Plan
	d.update(func(now time.Time, table *detour.Table) { plan = table.Plan(now, t.ID) })
	r := newRace(d, t, timeLeft(ctx))
	go r.run(plan)
	select {
	case w := <-r.winner:
		return w.conn, w.err
	case <-ctx.Done():
		go func() {
			if w := <-r.winner; w.err == nil {
				_ = w.conn.Close() // nothing was sent on it
			}
		}()
		return nil, r.abandon(ctx.Err())
	}
}

// timeLeft returns the time until the deadline of ctx, or else maxTTL.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(time.Until(deadline), maxTTL)
	}
	return maxTTL
}

// directConn is a connection over this node's own links.
type directConn struct {
	upconn.NetConn
	dialer *Dialer
	target upconn.Target
	// heardAt is the dialer's count of reads as of the last read of this connection.
	heardAt int64
}

// Read implements net.Conn.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.NetConn.Read(p)
	if n > 0 {
		c.heardAt = c.dialer.heard.Add(1)
	}
	return n, err
}

// Stale implements upconn.Staleness: nothing has come over the connection since the link to
// the upstream, or to all of them, was found lost.
func (c *directConn) Stale() bool {
	d := c.dialer
	if c.heardAt <= d.lostMark.Load() {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.heardAt <= d.silentMarks[c.target.ID]
}
