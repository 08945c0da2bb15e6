package load

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/fnvhash"
)

// Node is a node of the fleet.
type Node struct {
	Name ids.VM
	Zone ids.Zone
}

const (
	// MinNodes is the number of nodes from which on the load is exchanged. In smaller
	// fleets each node has a good part of the requests itself.
	MinNodes = 17
	// nodesPerShard is the number of nodes of a zone for each shard.
	nodesPerShard = 5
	// maxShards limits the messages that a node sends in each round.
	maxShards = 8
)

// ShardCount returns the number of shards of a fleet. It is the same for all zones, since
// the collectors of a shard exchange their sums across zones.
func ShardCount(nodes []Node) int {
	zones := make(map[ids.Zone]bool)
	for _, n := range nodes {
		zones[n.Zone] = true
	}
	return min(max(len(nodes)/(nodesPerShard*max(len(zones), 1)), 1), maxShards)
}

const (
	// unansweredLimit is the time since the first of several sends without an answer from
	// which on a collector counts as silent. The latest answer is then one round older.
	unansweredLimit = MaxAge - RoundInterval
	// silentRetry is how long a silent collector is sent nothing.
	silentRetry = 4 * time.Second
	// maxTrials is the number of nodes that are tried at a time while no node answers, or one
	// is tried again. Four silent nodes take longer to try in turn than silentRetry, so that a
	// fifth one would never be tried.
	maxTrials = 2
)

// candidate is a node that may be the collector of a shard in a zone.
type candidate struct {
	name ids.VM
	// responsive is set while the node answers.
	responsive bool
	// waitingSince is the time of the first send that was not answered, zero if there is
	// none.
	waitingSince time.Time
	// retryAt is the time until which a silent node is sent nothing, and failures is how
	// often it was silent since its last answer.
	retryAt  time.Time
	failures int
}

// expectAnswer records that the node is sent a message.
func (c *candidate) expectAnswer(now time.Time) {
	if c.waitingSince.IsZero() {
		c.waitingSince = now
	}
}

// checkSilent counts the node as silent if it has not answered for too long.
func (c *candidate) checkSilent(now time.Time) {
	if !c.waitingSince.IsZero() && now.Sub(c.waitingSince) >= unansweredLimit {
		*c = candidate{name: c.name, retryAt: now.Add(silentRetry), failures: c.failures + 1}
	}
}

// ranking holds the candidates for the collector of one shard in one zone, the first
// choice first.
type ranking []candidate

// newRanking returns the nodes in the order of their rendezvous hashes with a shard. It
// takes over what earlier holds about nodes.
func newRanking(nodes []ids.VM, shard int, earlier ranking) ranking {
	type ranked struct {
		candidate
		rank float64
	}
	key := "engine load/" + strconv.Itoa(shard)
	all := make([]ranked, 0, len(nodes))
	for _, name := range nodes {
		all = append(all, ranked{candidate{name: name}, fnvhash.Rank(string(name), key)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name)) })
	out := make(ranking, len(all))
	for i, r := range all {
		out[i] = r.candidate
		if known := earlier.find(r.name); known != nil {
			out[i] = *known
		}
	}
	return out
}

// find returns a candidate by name, nil if there is none.
func (r ranking) find(name ids.VM) *candidate {
	for i := range r {
		if r[i].name == name {
			return &r[i]
		}
	}
	return nil
}

// targets calls send with the nodes that are to get this round's message: the first one
// that answers, and before it those that are tried because they have not answered lately. A
// node takes itself for responsive.
func (r ranking) targets(now time.Time, self ids.VM, send func(ids.VM)) {
	for i := range r {
		r[i].checkSilent(now)
	}
	chosen := slices.IndexFunc(r, func(c candidate) bool { return c.responsive || c.name == self })
	if chosen < 0 {
		r.try(now, maxTrials, send)
		return
	}
	r[:chosen].try(now, 1, send)
	if r[chosen].name != self {
		r[chosen].expectAnswer(now)
	}
	send(r[chosen].name)
}

// try calls send with the silent nodes that are being tried, and with others if these are
// fewer than most, or than maxTrials if a node is tried again. The first trial is that of the
// highest rank. The second one is that of a node that was silent less often, because nodes at the
// top may no longer exist.
func (r ranking) try(now time.Time, most int, send func(ids.VM)) {
	trials := 0
	sendTrial := func(c *candidate) {
		send(c.name)
		trials++
		if c.failures > 0 {
			most = maxTrials
		}
	}
	for i := range r {
		if !r[i].waitingSince.IsZero() {
			sendTrial(&r[i])
		}
	}
	for trials < most {
		c := r.nextTrial(now, trials > 0)
		if c == nil {
			return
		}
		c.expectAnswer(now)
		sendTrial(c)
	}
}

// nextTrial returns the node of highest rank that is not being tried and may be, or the one
// that was silent least often. It returns nil if there is none.
func (r ranking) nextTrial(now time.Time, leastSilent bool) *candidate {
	var next *candidate
	for i := range r {
		c := &r[i]
		if !c.waitingSince.IsZero() || now.Before(c.retryAt) {
			continue
		}
		if next == nil || leastSilent && c.failures < next.failures {
			next = c
		}
	}
	return next
}

// answered records that a node has answered. It returns true if no node of higher rank
// does, and false also for a node that is no candidate.
func (r ranking) answered(name ids.VM, self ids.VM) bool {
	for i := range r {
		c := &r[i]
		if c.name == name {
			*c = candidate{name: name, responsive: true}
			return true
		}
		if c.responsive || c.name == self {
			if later := r[i+1:].find(name); later != nil {
				*later = candidate{name: name, responsive: true}
			}
			return false
		}
	}
	return false
}
