package roster

import (
	"testing"
	"time"
)

// epochStep is the difference between the versions of two epochs in the simulation: a version of
// a later epoch is higher than any of an earlier one.
const epochStep = 1_000_000

// epochOf returns the epoch of a version.
func epochOf(version int) int { return version / epochStep }

// lostChanges is the number of changes that the store loses when it is restored.
const lostChanges = 5

// Bounds after the return of a restored store.
const (
	// epochBound is the time until all nodes that reach the store or a peer are in the new
	// epoch, and epochBoundBesideFault that beside a fault of one node.
	epochBound            = 1500 * time.Millisecond
	epochBoundBesideFault = 2 * time.Second
)

// returnOfStore lets the store make changes, go away for a time and come back without them, in a
// new epoch.
func (sim *simulation) returnOfStore(away time.Duration) {
	sim.version += lostChanges
	sim.run(time.Second)
	sim.storeDown = true
	sim.run(away)
	sim.storeDown = false
	sim.version += epochStep - lostChanges
}

// timeToEpoch returns the time from the return of the store until all nodes that can learn of it
// are in the new epoch.
func (sim *simulation) timeToEpoch(limit time.Duration) (took time.Duration, late []string) {
	for took < limit {
		if late = sim.outdated(canLearn); len(late) == 0 {
			return took, nil
		}
		sim.run(step)
		took += step
	}
	return took, sim.outdated(canLearn)
}

// targetFleet returns a fleet of 390 nodes in fifteen zones.
func targetFleet() []Member {
	var members []Member
	for z := range 15 {
		members = append(members, zone(string(rune('a'+z)), 26)...)
	}
	return members
}

// awayTimes are times for which the store is away.
var awayTimes = []time.Duration{300 * time.Millisecond, time.Second, 2500 * time.Millisecond}

// Guards against nodes that stay in the epoch before, since they ask peers that have not heard of
// the new one.
func TestAllEnterTheEpochOfARestoredStore(t *testing.T) {
	limitParallel(t)
	for _, members := range append(fleets(), targetFleet()) {
		seeds := uint64(10)
		if len(members) > 50 {
			seeds = 3 // a run takes half a second
		}
		worst, runs := time.Duration(0), 0
		for _, away := range awayTimes {
			for seed := range seeds {
				sim := newSimulation(members, seed)
				sim.run(time.Second + time.Duration(sim.rand.IntN(40))*step)
				sim.returnOfStore(away + time.Duration(sim.rand.IntN(40))*step)
				took, late := sim.timeToEpoch(epochBound)
				if len(late) > 0 {
					t.Errorf("%d nodes, away %v, seed %d: %d late, for example %s", len(members), away, seed, len(late), late[0])
				}
				worst, runs = max(worst, took), runs+1
			}
		}
		t.Logf("%d nodes, %d runs: at most %v", len(members), runs, worst)
	}
}

// The same beside one more fault, which begins before, while the store is away, or after.
func TestAllEnterTheEpochDespiteAnyOneFault(t *testing.T) {
	limitParallel(t)
	members := smallFleet()
	worst, runs := time.Duration(0), 0
	for _, at := range positions(members) {
		for f := killed; f < faultCount; f++ {
			for moment := range 3 {
				sim := newSimulation(members, uint64(runs))
				sim.run(time.Second)
				n := sim.nodes[at]
				if moment == 0 {
					sim.setFault(n, f)
				}
				sim.version += lostChanges
				sim.run(time.Second)
				sim.storeDown = true
				sim.run(500 * time.Millisecond)
				if moment == 1 {
					sim.setFault(n, f)
				}
				sim.run(500 * time.Millisecond)
				sim.storeDown = false
				sim.version += epochStep - lostChanges
				if moment == 2 {
					sim.setFault(n, f)
				}
				took, late := sim.timeToEpoch(epochBoundBesideFault)
				if len(late) > 0 {
					t.Errorf("%s of %s, moment %d: late %v", f, n.member.Name, moment, late)
				}
				worst, runs = max(worst, took), runs+1
			}
		}
	}
	t.Logf("%d runs, at most %v", runs, worst)
}
