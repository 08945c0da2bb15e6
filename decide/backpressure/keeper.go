package backpressure

import (
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/fnvhash"
)

// MaxKeepers is how many nodes may issue the permits for an upstream, one at a time.
const MaxKeepers = 3

// Keepers returns the nodes that may issue the permits for an upstream, at most MaxKeepers.
// The first one is the keeper, and each of the others only while those before it do not
// answer. They are the same for all nodes with the same list, and change for few upstreams
// when a node joins or leaves the list.
func Keepers(id ids.Instance, nodes []ids.VM) []ids.VM {
	upstream := id.String()
	keepers := make([]ids.VM, 0, MaxKeepers+1)
	ranks := make([]float64, 0, MaxKeepers+1)
	for _, node := range nodes {
		rank := fnvhash.Rank(string(node), upstream)
		at := len(ranks)
		for at > 0 && ranks[at-1] < rank {
			at--
		}
		if at == MaxKeepers {
			continue
		}
		keepers, ranks = slices.Insert(keepers, at, node), slices.Insert(ranks, at, rank)
		most := min(len(keepers), MaxKeepers)
		keepers, ranks = keepers[:most], ranks[:most]
	}
	return keepers
}

// MaxHops is how many nodes may pass a request for a permit on. Nodes whose lists differ
// could pass it on without end.
const MaxHops = 3

// AskOrder returns the keepers of an upstream in the order in which the node self asks them
// for a permit, itself included. The first one that answers decides. A keeper issues permits
// only while those before it do not answer. connected is true if others reach self. If that
// is not known, self does not issue permits of its own accord, because all others may have
// another keeper: it asks those after it, which ask self again if they reach it.
func AskOrder(self ids.VM, keepers []ids.VM, connected bool) []ids.VM {
	at := slices.Index(keepers, self)
	switch {
	case at < 0, len(keepers) == 1:
		return keepers
	case connected:
		return keepers[:at+1]
	}
	return slices.Delete(slices.Clone(keepers), at, at+1)
}
