package record

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

func TestHistoryKeepsTheNewestDecisions(t *testing.T) {
	h := New(3)
	add := func(id ids.Request, step router.DecisionStep) {
		h.Add(router.Decision{ID: id, Step: step})
	}
	add("a", router.StepAdmitted)
	add("b", router.StepAdmitted)
	add("a", router.StepSent)
	add("a", router.StepFinished)
	steps := func(id ids.Request) []router.DecisionStep {
		var found []router.DecisionStep
		for _, d := range h.Decisions(id) {
			found = append(found, d.Step)
		}
		return found
	}
	if diff := cmp.Diff([]router.DecisionStep{router.StepSent, router.StepFinished}, steps("a")); diff != "" {
		t.Error(diff)
	}
	add("c", router.StepAdmitted)
	if got := h.Decisions("b"); got != nil {
		t.Errorf("overwritten decisions are still returned: %v", got)
	}
}
