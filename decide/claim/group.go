package claim

import (
	"math/rand/v2"
	"strconv"
	"time"

	"mimosaarch.example/decide/router"
)

// Prefix is the key prefix of the shards' objects in the platform's store.
const Prefix = "claims/"

// Group commits the claims of one VM. It holds the state of all shards.
type Group struct {
	settings   Settings
	rand       *rand.Rand
	committers []*shardCommitter
	counts     Counts
	// forwards are the open forwards by ID, and lastForwardID is the last ID
	// assigned. nextForwardDeadline is not after the earliest deadline of the
	// open forwards, and zero if there are none.
	forwards            map[uint64]*forward
	lastForwardID       uint64
	nextForwardDeadline time.Time
	// served maps the nonces of operations accepted from other VMs to their
	// deadlines.
	served map[string]time.Time
	// cached is the total encoded size of the values held in memory, in bytes.
	cached int
	// out collects the commands of the current call.
	out []Command
}

// New returns a Group without claims. Zero fields of settings take their
// defaults.
func New(settings Settings) *Group {
	settings = settings.withDefaults()
	return &Group{
		settings:   settings,
		rand:       rand.New(rand.NewPCG(settings.Seed, 0)),
		committers: make([]*shardCommitter, settings.Shards),
		forwards:   make(map[uint64]*forward),
		served:     make(map[string]time.Time),
	}
}

// Shards returns the number of shards. At most one call is open per shard.
func (g *Group) Shards() int { return g.settings.Shards }

// ShardOf returns the shard of the record's key.
func (g *Group) ShardOf(record router.ClaimRecord) int {
	return ShardOf(record, g.settings.Shards)
}

// ShardOf returns the shard of the record's key, given the number of shards.
func ShardOf(record router.ClaimRecord, shards int) int { return keyOf(record).shard(shards) }

// committer returns the committer of a shard and creates it if necessary.
func (g *Group) committer(shard int) *shardCommitter {
	if g.committers[shard] == nil {
		g.committers[shard] = &shardCommitter{group: g, shard: shard, key: Prefix + strconv.Itoa(shard)}
	}
	return g.committers[shard]
}

// Submit accepts an operation. Every accepted Claim gets exactly one Ended and
// every Release exactly one Released; a Settle gets no result. The operation is
// not accepted if an error is returned: *OpError, or for a Claim
// *QueueFullError. The returned commands are valid until the next method call.
func (g *Group) Submit(now time.Time, op Op) ([]Command, error) {
	g.out = g.out[:0]
	if err := op.check(); err != nil {
		return nil, err
	}
	if err := g.committer(g.ShardOf(op.Record)).submit(now, op, noLostWrite); err != nil {
		return nil, err
	}
	return g.out, nil
}

// check returns an *OpError if the operation lacks a required field.
func (o Op) check() error {
	switch {
	case o.Record.Account == "":
		return &OpError{Missing: "account"}
	case o.Record.Key == "":
		return &OpError{Missing: "key"}
	case o.Record.Request == "":
		return &OpError{Missing: "request"}
	case o.Kind == Claim && o.Nonce == "":
		return &OpError{Missing: "nonce"}
	}
	return nil
}

// Answer handles the platform's answer to the open Read or Write of a shard.
func (g *Group) Answer(now time.Time, answer Answer) []Command {
	g.out = g.out[:0]
	g.committer(answer.Shard).answer(now, answer)
	return g.out
}

// Tick ends operations whose deadline has passed and starts calls that are due.
func (g *Group) Tick(now time.Time) []Command {
	g.out = g.out[:0]
	g.reclaimForwards(now)
	for _, s := range g.committers {
		if s != nil {
			s.advance(now, false)
		}
	}
	return g.out
}

// Wake returns when the next Tick is due, or false if none is.
func (g *Group) Wake() (time.Time, bool) {
	next := g.nextForwardDeadline
	for _, s := range g.committers {
		if s == nil {
			continue
		}
		if at, ok := s.wake(); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Pending returns the number of unfinished operations, including those in the
// background and those forwarded.
func (g *Group) Pending() int {
	n := len(g.forwards)
	for _, s := range g.committers {
		if s != nil {
			n += len(s.ops)
		}
	}
	return n
}

// emit appends a command to the result of the current call.
func (g *Group) emit(c Command) { g.out = append(g.out, c) }
