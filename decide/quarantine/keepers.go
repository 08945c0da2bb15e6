package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/fnvhash"
)

// keepersPerZone is how many nodes of each availability zone keep the evidence of a
// service, so that a zone that is cut off from the others has keepers, and one of them may
// fail.
const keepersPerZone = 2

const (
	// evidenceWait is the time that nodes have to report a death to the keepers. A node
	// probes the engines of a chain first, and calls to a frozen keeper take a second.
	evidenceWait = 200 * time.Millisecond
	// keeperStagger is by how much each keeper waits longer than the one before, so that
	// normally only the first one informs all nodes.
	keeperStagger = 100 * time.Millisecond
	// suspectHold is how long a suspect waits for the decision of the keepers: the first
	// three of them can reach and send one in that time.
	suspectHold = evidenceWait + 3*keeperStagger
	// suspectSpread is the time over which suspects are sent once they have waited.
	suspectSpread = 500 * time.Millisecond
)

// Peer is a node that may keep evidence.
type Peer struct {
	VM   ids.VM
	Zone ids.Zone
}

// Keepers returns the nodes that keep the evidence of a service and decide on its suspects,
// at most keepersPerZone of each zone. The order, in which keepers inform all nodes, and the
// choice are the same for all nodes with the same list.
func Keepers(service ids.Service, nodes []Peer) []ids.VM {
	type candidate struct {
		Peer
		rank float64
		// ahead is the number of nodes of the same zone with a higher rank.
		ahead int
	}
	candidates := make([]candidate, len(nodes))
	for i, n := range nodes {
		candidates[i] = candidate{Peer: n, rank: fnvhash.Rank(string(n.VM), string(service))}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.rank, x.rank), cmp.Compare(x.VM, y.VM))
	})
	inZone := make(map[ids.Zone]int)
	for i := range candidates {
		zone := candidates[i].Zone
		candidates[i].ahead = inZone[zone]
		inZone[zone]++
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.ahead >= keepersPerZone })
	slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.ahead, y.ahead) })
	keepers := make([]ids.VM, len(candidates))
	for i, c := range candidates {
		keepers[i] = c.VM
	}
	return keepers
}

// Role is the part of a node in the decisions on one service.
type Role struct {
	// Alone is true if no other node has evidence or can get any.
	Alone bool
	// Keeper is true if the node decides on suspects. Rank is its place among the keepers.
	Keeper bool
	Rank   int
}

// RoleOf returns the role of a node, given the keepers of a service and the number of nodes.
func RoleOf(self ids.VM, keepers []ids.VM, nodes int) Role {
	rank := slices.Index(keepers, self)
	return Role{Alone: nodes == 1 && rank == 0, Keeper: rank >= 0, Rank: max(rank, 0)}
}

// wait returns how long after it learned of a death the node waits for evidence of others
// before it decides.
func (r Role) wait() time.Duration {
	if r.Alone {
		return 0
	}
	return evidenceWait + time.Duration(r.Rank)*keeperStagger
}
