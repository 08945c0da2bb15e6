package entry

import (
	"testing"
	"time"

	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/roster"
)

// Guards against nodes that vanish from each other's lists because the copy from which the
// store was restored lacks their entries.
func TestNodesThatTheCopyLacksAreCarried(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := 0
	f := newFleet(Settings{VM: "a-00", Zone: "a"}, func() time.Time { return now }, func(n int) { nodes = n })
	f.setMembers(zoneMembers("a", 4), revision.Revision{Epoch: 1, Number: 90})
	f.setMembers(zoneMembers("a", 2), revision.Revision{Epoch: 2, Number: 20})
	if nodes != 4 || len(f.others()) != 3 {
		t.Errorf("%d nodes, %d others after a list of the copy", nodes, len(f.others()))
	}
	if _, lacks := f.listLacks("a-03"); !lacks {
		t.Error("the list does not lack the node although the copy does")
	}
	if epoch, lacks := f.listLacks("a-00"); lacks || epoch != 2 {
		t.Errorf("lacks a node that is listed: %v, in epoch %d", lacks, epoch)
	}
	f.setMembers(zoneMembers("a", 3), revision.Revision{Epoch: 2, Number: 25})
	now = now.Add(carryTime - 1)
	if f.dropCarried(); nodes != 4 {
		t.Errorf("%d nodes before the end of carryTime", nodes)
	}
	now = now.Add(1)
	if f.dropCarried(); nodes != 3 {
		t.Errorf("%d nodes after carryTime, want those that have joined again", nodes)
	}
	f.setMembers([]roster.Member{}, revision.Revision{Epoch: 1, Number: 95})
	if nodes != 3 {
		t.Errorf("%d nodes after a late list of the epoch before", nodes)
	}
}
