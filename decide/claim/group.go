package claim

import (
	"math/rand/v2"
	"strconv"
	"time"

	"mimosaarch.example/decide/router"
)

// Prefix starts the keys of the shards' objects.
const Prefix = "claims/"

// Group commits the claims of one VM over all shards.
type Group struct {
	settings Settings
	rand     *rand.Rand
	machines []*machine
	counts   Counts
	// forwards are the operations handed to other VMs, by number; forwarded
	// is the last number given. forwardDue is no later than the first of
	// their ends; zero when none is out.
	forwards   map[uint64]*forward
	forwarded  uint64
	forwardDue time.Time
	// served are the nonces of other VMs' operations, with their deadlines.
	served map[string]time.Time
	// cached is the encoded size of the values kept.
	cached int
	out    []Command
}

// New makes a Group.
func New(settings Settings) *Group {
	settings = settings.withDefaults()
	return &Group{
		settings: settings,
		rand:     rand.New(rand.NewPCG(settings.Seed, 0)),
		machines: make([]*machine, settings.Shards),
		forwards: make(map[uint64]*forward),
		served:   make(map[string]time.Time),
	}
}

// Shards is the number of shards; at most one call is open for each.
func (g *Group) Shards() int { return g.settings.Shards }

// ShardOf gives the shard of a key.
func (g *Group) ShardOf(record router.ClaimRecord) int {
	return ShardOf(record, g.settings.Shards)
}

// ShardOf gives the shard of a key among a number of shards.
func ShardOf(record router.ClaimRecord, shards int) int { return keyOf(record).shard(shards) }

// machine gives a shard's state machine.
func (g *Group) machine(shard int) *machine {
	if g.machines[shard] == nil {
		g.machines[shard] = &machine{group: g, shard: shard, key: Prefix + strconv.Itoa(shard)}
	}
	return g.machines[shard]
}

// Submit takes an operation. Errors: *OpError, and *QueueFullError for a Claim;
// then the operation was not taken. Each Claim taken gets exactly one Ended,
// each Release exactly one Released; a Settle gets no answer. The commands
// are valid until the next call of any method.
func (g *Group) Submit(now time.Time, op Op) ([]Command, error) {
	g.out = g.out[:0]
	if err := op.check(); err != nil {
		return nil, err
	}
	if err := g.machine(g.ShardOf(op.Record)).submit(now, op, untainted); err != nil {
		return nil, err
	}
	return g.out, nil
}

// check refuses an operation that lacks a part.
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

// Answer takes the platform's answer to the open Read or Write of a shard.
func (g *Group) Answer(now time.Time, answer Answer) []Command {
	g.out = g.out[:0]
	g.machine(answer.Shard).answer(now, answer)
	return g.out
}

// Tick lets deadlines pass and calls start that are due.
func (g *Group) Tick(now time.Time) []Command {
	g.out = g.out[:0]
	g.takeBack(now)
	for _, m := range g.machines {
		if m != nil {
			m.drive(now, false)
		}
	}
	return g.out
}

// Wake is when the next Tick is due; false when none is.
func (g *Group) Wake() (time.Time, bool) {
	next := g.forwardDue
	for _, m := range g.machines {
		if m == nil {
			continue
		}
		if at, ok := m.wake(); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Pending counts the operations not done, those in the background included.
func (g *Group) Pending() int {
	n := len(g.forwards)
	for _, m := range g.machines {
		if m != nil {
			n += len(m.ops)
		}
	}
	return n
}

// emit adds a command to the current call's.
func (g *Group) emit(c Command) { g.out = append(g.out, c) }
