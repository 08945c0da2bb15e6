package catchup

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// peers returns n peers of the own zone and m of others.
func peers(n, m int) []Peer {
	var list []Peer
	for i := range n + m {
		list = append(list, Peer{Address: fmt.Sprint("p", i), SameZone: i < n})
	}
	return list
}

// complete returns a search among peers.
func complete(seed uint64, list []Peer) *Search {
	s := New(seed, true)
	s.Add(list...)
	s.Complete()
	return s
}

// askAll asks until the search has ended. answer returns what a peer does.
func askAll(s *Search, answer func(address string) reply) (asked []string) {
	for !s.Done() {
		address, ok := s.Next()
		if !ok {
			return asked
		}
		asked = append(asked, address)
		answer(address).record(s)
	}
	return asked
}

// reply is what a peer does when it is asked.
type reply int

const (
	upToDate reply = iota
	startingToo
	silent
)

// record records a reply.
func (r reply) record(s *Search) {
	if r == silent {
		s.RecordFailure()
		return
	}
	s.RecordAnswer(r == startingToo)
}

func always(r reply) func(string) reply { return func(string) reply { return r } }

// Guards against a node that relies on one peer, which may have missed a message.
func TestTwoPeersThatAreUpToDateEndTheSearch(t *testing.T) {
	s := complete(1, peers(10, 10))
	if asked := askAll(s, always(upToDate)); len(asked) != wantedAnswers || !s.Done() {
		t.Errorf("asked %v", asked)
	}
}

// Guards against entries of nodes that have ended or are suspended, which use up all calls of
// a search.
func TestSilentPeersAreSkipped(t *testing.T) {
	list := peers(6, 6)
	alive := []string{"p5", "p11"}
	for seed := range uint64(50) {
		s := complete(seed, list)
		askAll(s, func(address string) reply {
			if slices.Contains(alive, address) {
				return upToDate
			}
			return silent
		})
		if s.Counts().Current != len(alive) || !s.Done() {
			t.Errorf("seed %d: %+v", seed, s.Counts())
		}
	}
}

// Guards against all calls going to other zones, between which bytes cost more.
func TestHalfOfTheCallsStayInTheZone(t *testing.T) {
	list := peers(10, 50)
	s := complete(1, list)
	near := 0
	for i, address := range askAll(s, always(silent))[:20] {
		if slices.Contains(list[:10], Peer{Address: address, SameZone: true}) {
			near++
		}
		if asked := i + 1; near != (asked+1)/2 {
			t.Errorf("%d of %d calls in the own zone", near, asked)
		}
	}
}

// Guards against a zone that starts as a whole and asks only its own nodes, which know
// nothing.
func TestZoneThatStartsAsAWholeAsksOthers(t *testing.T) {
	for seed := range uint64(50) {
		s := complete(seed, peers(30, 60))
		askAll(s, func(address string) reply {
			var number int
			if _, err := fmt.Sscanf(address, "p%d", &number); err != nil {
				t.Fatal(err)
			}
			if number < 30 {
				return startingToo
			}
			return upToDate
		})
		if s.Counts().Current < wantedAnswers {
			t.Errorf("seed %d: %+v", seed, s.Counts())
		}
	}
}

// Guards against a fleet that starts as a whole and never serves, or asks without end.
func TestFleetThatStartsAsAWholeDoesNotWait(t *testing.T) {
	for _, n := range []int{0, 1, 3, 9, 300} {
		s := complete(1, peers(n/3, n-n/3))
		asked := askAll(s, always(startingToo))
		if !s.Done() || len(asked) != min(n, maxStarting) {
			t.Errorf("%d peers: asked %d, done %v", n, len(asked), s.Done())
		}
	}
}

// Guards against a search that ends before the list of peers has arrived.
func TestSearchWaitsForTheListOfPeers(t *testing.T) {
	s := New(1, true)
	if _, ok := s.Next(); ok || s.Done() {
		t.Error("ended without peers")
	}
	s.Add(Peer{Address: "seed"})
	askAll(s, always(silent))
	if s.Done() {
		t.Error("ended with one silent peer of an incomplete list")
	}
	s.Complete()
	if !s.Done() {
		t.Error("did not end though all peers were asked")
	}
}

// Guards against peers that all nodes ask, since their names come first.
func TestNodesAskDifferentPeers(t *testing.T) {
	const nodes, size = 390, 390
	asked := make(map[string]int)
	for seed := range uint64(nodes) {
		for _, address := range askAll(complete(seed, peers(size/3, size-size/3)), always(upToDate)) {
			asked[address]++
		}
	}
	for address, n := range asked {
		if n > 15 {
			t.Errorf("%s is asked by %d of %d nodes", address, n, nodes)
		}
	}
}

func TestSearchIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		atStart := rapid.Bool().Draw(t, "at start")
		parallel := map[bool]int{true: callsAtStart, false: callsLater}[atStart]
		s := New(rapid.Uint64().Draw(t, "seed"), atStart)
		s.Complete()
		s.Add(peers(rapid.IntRange(0, 40).Draw(t, "near"), rapid.IntRange(0, 40).Draw(t, "far"))...)
		var open []string
		seen := make(map[string]bool)
		for {
			address, ok := s.Next()
			if ok {
				if seen[address] {
					t.Fatalf("%s is asked twice", address)
				}
				seen[address] = true
				open = append(open, address)
				continue
			}
			if len(open) > parallel || len(seen) > MaxCalls {
				t.Fatalf("%d calls at once, %d in all", len(open), len(seen))
			}
			if len(open) == 0 {
				break
			}
			open = open[1:]
			rapid.SampledFrom([]reply{upToDate, startingToo, silent}).Draw(t, "reply").record(s)
		}
		if !s.Done() {
			t.Fatalf("not done with nobody left to ask: %+v", s.Counts())
		}
	})
}
