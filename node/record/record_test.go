package record

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

func TestBookKeepsTheNewest(t *testing.T) {
	b := New(3)
	add := func(id ids.Request, step router.DecisionStep) {
		b.Add(router.Decision{ID: id, Step: step})
	}
	add("a", router.StepAdmitted)
	add("b", router.StepAdmitted)
	add("a", router.StepSent)
	add("a", router.StepFinished)
	steps := func(id ids.Request) []router.DecisionStep {
		var found []router.DecisionStep
		for _, d := range b.Decisions(id) {
			found = append(found, d.Step)
		}
		return found
	}
	if diff := cmp.Diff([]router.DecisionStep{router.StepSent, router.StepFinished}, steps("a")); diff != "" {
		t.Error(diff)
	}
	add("c", router.StepAdmitted)
	if got := b.Decisions("b"); got != nil {
		t.Errorf("overwritten decisions are still given: %v", got)
	}
}
