package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// refusedTime is how long the store refuses some nodes, and calmTime the time before that
	// with the present nodes.
	refusedTime = 3400 * time.Millisecond
	calmTime    = 8 * time.Second
	// refusedBound is the maximum delay of a change to a node that the store serves, whichever
	// others it refuses.
	refusedBound = 2 * time.Second
)

// fleetWithReplacedNodes returns a fleet of living nodes and others that no longer exist, in three
// zones. The order of their names is random.
func fleetWithReplacedNodes(living, gone int, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 2))
	var members []Member
	for i := range living + gone {
		zone := string(rune('a' + i%3))
		members = append(members, Member{Name: ids.VM(fmt.Sprintf("%s-%06d", zone, r.IntN(1_000_000))), Zone: ids.Zone(zone), PeerAddress: fmt.Sprint(i)})
	}
	sim := newSimulation(members, seed)
	sim.verifies = true
	for _, n := range sim.nodes[living:] {
		n.fault = frozen // calls to it hang, and it makes none
	}
	return sim
}

// Guards against nodes that learn of changes too late because the list has many nodes that no
// longer exist: they waited for the turns of these before they called the store.
func TestChangeReachesNodesThatTheStoreServesBesideReplacedNodes(t *testing.T) {
	limitParallel(t)
	for _, size := range []struct{ living, gone int }{{9, 31}, {9, 90}, {12, 48}, {30, 0}, {30, 60}} {
		late, seeds := 0, uint64(20)
		var first string
		for seed := range seeds {
			sim := fleetWithReplacedNodes(size.living, size.gone, seed)
			sim.run(calmTime)
			for range 3 {
				refused := sim.rand.Perm(size.living)[:size.living*2/3]
				for _, i := range refused {
					sim.setFault(sim.nodes[i], storeRejects)
				}
				sim.run(time.Duration(sim.rand.IntN(40)) * step)
				sim.version++
				sim.run(refusedBound)
				if names := sim.outdated(fault.reachesStore); len(names) > 0 {
					late += len(names)
					first = fmt.Sprintf("seed %d: %s", seed, names[0])
				}
				sim.run(refusedTime - refusedBound)
				for _, i := range refused {
					sim.setFault(sim.nodes[i], healthy)
				}
				sim.run(3 * time.Second)
			}
		}
		if late > 0 {
			t.Errorf("%d nodes and %d that are gone: %d late, such as %s", size.living, size.gone, late, first)
		}
	}
}

func TestMembersAreVerifiedAgain(t *testing.T) {
	r := nodeKnowing(Member{Name: "a-001", Zone: "a"}, smallFleet()).Roster
	now := start
	for _, want := range []Member{{Name: "a-000"}, {Name: "a-002"}, {Name: "a-003"}} {
		got, found := r.NextToVerify(now)
		if !found || got.Name != want.Name {
			t.Fatalf("%+v, want %s", got, want.Name)
		}
		if changed := r.Verified(now, got.Name, got.Name != "a-002"); changed != (got.Name == "a-002") {
			t.Errorf("%s: changed is %v", got.Name, changed)
		}
	}
	if r.Verified(now, "b-000", false); r.rank() != 3 {
		t.Errorf("rank is %d, want 3: one member of the own zone comes before", r.rank())
	}
	if got, found := r.NextToVerify(now); found {
		t.Errorf("%s is verified at once again", got.Name)
	}
	// Of the other zones only members that did not answer are verified.
	now = now.Add(minPeerBackoff)
	due := make(map[ids.VM]bool)
	for {
		got, found := r.NextToVerify(now)
		if !found {
			break
		}
		due[got.Name] = true
		r.Verified(now, got.Name, true)
	}
	if len(due) != 2 || !due["a-002"] || !due["b-000"] || len(r.Present()) != len(smallFleet())-1 {
		t.Errorf("verified %v, %d present", due, len(r.Present()))
	}
	if _, found := r.NextToVerify(now.Add(verifyInterval)); !found {
		t.Error("members that have answered are never verified again")
	}
}
