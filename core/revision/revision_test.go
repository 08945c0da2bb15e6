package revision

import (
	"encoding/json"
	"errors"
	"math"
	"slices"
	"testing"
)

func TestOrder(t *testing.T) {
	ascending := []Revision{{}, {0, 1}, {0, 900}, {1, 1}, {1, 500}, {2, 2}, {2, 480}, {3, 1}}
	for i, a := range ascending {
		for j, b := range ascending {
			if a.Before(b) != (i < j) || a.After(b) != (i > j) {
				t.Errorf("%v and %v: before %v, after %v", a, b, a.Before(b), a.After(b))
			}
			if latest := Latest(a, b); latest != ascending[max(i, j)] {
				t.Errorf("latest of %v and %v: %v", a, b, latest)
			}
		}
	}
}

// Guards against fencing tokens that go back with the revision counter.
func TestFenceRisesWithTheEpoch(t *testing.T) {
	ascending := []Revision{{0, 1}, {0, 1 << 39}, {1, 1}, {1, 1 << 39}, {2, 1}, {1<<22 - 1, 5}}
	var fences []int64
	for _, r := range ascending {
		fences = append(fences, r.Fence())
	}
	if !slices.IsSorted(fences) || len(slices.Compact(fences)) != len(ascending) {
		t.Errorf("fences are not strictly increasing: %v", fences)
	}
	if got := (Revision{Number: 126}).Fence(); got != 126 {
		t.Errorf("fence without an epoch: %d", got)
	}
	if got := (Revision{Epoch: math.MaxInt64, Number: 7}).Fence(); got <= 0 {
		t.Errorf("fence of the highest epoch: %d", got)
	}
}

func TestJSON(t *testing.T) {
	for r, want := range map[Revision]string{{}: "0", {0, 126}: "126", {2, 118}: `"2.118"`} {
		text, err := json.Marshal(r)
		if err != nil || string(text) != want {
			t.Errorf("%v: %s, %v, want %s", r, text, err, want)
		}
		var back Revision
		if err := json.Unmarshal(text, &back); err != nil || back != r {
			t.Errorf("%s: %v, %v", text, back, err)
		}
	}
	for _, text := range []string{`"2."`, `".5"`, `"a.5"`, `1.5e3`, `"2.3.4"`, `{}`, `null`} {
		var r Revision
		var syntax *SyntaxError
		if err := json.Unmarshal([]byte(text), &r); !errors.As(err, &syntax) {
			t.Errorf("%s: %v, %v", text, r, err)
		}
	}
}
