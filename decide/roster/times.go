package roster

import "time"

// A change must be in force everywhere within 2 s, and an upstream that leaves gets nothing
// new after that, half a second of which goes to links and requests under way. Nodes ask in
// turn, and news pass two nodes: what one question takes at the most bounds the whole.
const (
	// PeerPollWait is how long a peer's answer may wait for news. What one peer does not know,
	// being cut off, another is asked for after it.
	PeerPollWait = 300 * time.Millisecond
	// PeerReadTimeout is how much longer than that a peer may be silent before it counts as
	// standing still. One that is sending is not silent.
	PeerReadTimeout = 300 * time.Millisecond
	// MaxAge is how old the view of a node that watches the store may be, whose probes are
	// answered in time.
	MaxAge = 1500 * time.Millisecond
	// hopAge is what each node between may add: its wait for an answer, and the way.
	hopAge = time.Second
	// MaxHops is the most nodes between the store and one that may be asked: those that
	// watch the store and the heads of zones. Nodes whose lists of the fleet differ could
	// else wait for each other in a ring.
	MaxHops = 1
)

// Fresh reports whether news are taken of a peer that the store answered, over so many
// nodes, that long ago.
func Fresh(age time.Duration, hops int) bool {
	return hops <= MaxHops && age <= MaxAge+time.Duration(hops)*hopAge
}
