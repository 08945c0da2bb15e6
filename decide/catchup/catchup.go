// Package catchup decides which peers a node asks for what nodes keep in memory only, and when
// it has heard enough.
//
// A node that starts, or was suspended, lacks what the others were told meanwhile. A peer that
// answers may itself have started a moment ago, and some of the listed peers have ended, are
// suspended or are cut off. So a Search asks a few peers at once, in random order, half of
// them in the node's own availability zone, until two have answered that are up to date.
//
// Ways that were rejected: the same peers for all nodes (after a release all ask these), and
// the own zone first (if a whole zone starts, none of it knows anything).
package catchup

import "math/rand/v2"

const (
	// callsAtStart is how many peers a node that starts asks at once, as some may be silent
	// and its callers wait. Later searches ask callsLater.
	callsAtStart = 4
	callsLater   = wantedAnswers
	// wantedAnswers is how many peers that are up to date have to answer, as one of them may
	// have missed a message.
	wantedAnswers = 2
	// maxStarting is how many peers may answer that they have just started, until the whole
	// fleet counts as starting.
	maxStarting = 8
	// MaxCalls is the most peers that one search asks.
	MaxCalls = 32
)

// Peer is a node that can be asked.
type Peer struct {
	// Address is the IP address and port on which the peer serves other nodes.
	Address string
	// SameZone is true if the peer is in the availability zone of the node that asks.
	SameZone bool
}

// Search is one search for what peers know. It is not safe for concurrent use and makes no
// calls: Next returns whom to ask, and each call has to end with RecordAnswer or
// RecordFailure.
type Search struct {
	rand *rand.Rand
	// parallel is how many peers are asked at once.
	parallel int
	// added holds the addresses of all peers that were added.
	added map[string]bool
	// near holds the peers of the own zone that were not asked yet, far the others.
	near, far []string
	// complete is true once all peers were added.
	complete bool
	// calls is the number of calls that were made, open of those that have not ended.
	calls, open int
	// current is the number of peers that answered and are up to date, starting of those that
	// answered and have just started.
	current, starting int
}

// New returns a search without peers. atStart is true for the first search of a node that
// starts. Searches with different seeds ask in different orders.
func New(seed uint64, atStart bool) *Search {
	s := &Search{rand: rand.New(rand.NewPCG(seed, seedStream)), parallel: callsLater, added: make(map[string]bool)}
	if atStart {
		s.parallel = callsAtStart
	}
	return s
}

// seedStream is the second half of the random source's seed. It makes the random sequence
// differ from those of other users of the same seed.
const seedStream = 0x6361746368

// Add adds peers. Those that were added before are ignored.
func (s *Search) Add(peers ...Peer) {
	for _, p := range peers {
		switch {
		case s.added[p.Address]:
		case p.SameZone:
			s.near = append(s.near, p.Address)
		default:
			s.far = append(s.far, p.Address)
		}
		s.added[p.Address] = true
	}
}

// Complete records that all peers were added.
func (s *Search) Complete() { s.complete = true }

// Next returns the address of a peer to ask now, or false if there is none.
func (s *Search) Next() (address string, ok bool) {
	if s.Done() || s.open >= s.parallel || !s.hasMore() {
		return "", false
	}
	from := &s.near
	if len(s.near) == 0 || len(s.far) > 0 && s.calls%2 == 1 {
		from = &s.far
	}
	s.calls++
	s.open++
	return s.take(from), true
}

// hasMore reports whether there are peers that may still be asked.
func (s *Search) hasMore() bool { return s.calls < MaxCalls && len(s.near)+len(s.far) > 0 }

// take removes a random element from a list that is not empty.
func (s *Search) take(list *[]string) string {
	l := *list
	i, last := s.rand.IntN(len(l)), len(l)-1
	taken := l[i]
	l[i] = l[last]
	*list = l[:last]
	return taken
}

// RecordAnswer records the answer of a peer. starting is true if the peer has not caught up
// itself.
func (s *Search) RecordAnswer(starting bool) {
	s.open--
	if starting {
		s.starting++
		return
	}
	s.current++
}

// RecordFailure records that a peer did not answer.
func (s *Search) RecordFailure() { s.open-- }

// Done reports whether the search has ended: enough peers have answered, or there is none
// left to ask.
func (s *Search) Done() bool {
	switch {
	case s.current >= wantedAnswers, s.starting >= maxStarting:
		return true
	case s.open > 0 || s.hasMore():
		return false
	}
	return s.complete || s.current > 0
}

// Counts are the numbers of the calls of a search.
type Counts struct {
	// Asked is the number of peers that were asked, Current of those that answered and are up
	// to date, and Starting of those that answered but have not caught up.
	Asked, Current, Starting int
}

// Counts returns the numbers of calls so far.
func (s *Search) Counts() Counts {
	return Counts{Asked: s.calls, Current: s.current, Starting: s.starting}
}
