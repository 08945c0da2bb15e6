package forward

import (
	"testing"
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/retry"
)

// On a day of 8 nodes with trouble of several kinds a service got 344 sends beyond the first
// of each request in ten seconds, 336 being allowed, in a hunt with streams that wait for a
// retry and on one of six plays after it; before, when such streams were cut, on none of six. The cause: an
// allowance that fades grants what it holds at once and, used up all the while, the same
// again in the ten seconds after. A node took six tenths of its part as allowance, and so up to
// 1.2 times its part.
func TestNodesTogetherKeepTheBudgetInEveryWindow(t *testing.T) {
	const (
		nodes = 8
		step  = 10 * time.Millisecond
		calm  = 30 * time.Second
		short = 40 * time.Second
	)
	b := Budget{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}
	var budgets []*retry.Budget
	for range nodes {
		p := newPicker(Options{Budget: b}, nil)
		p.setNodes(nodes)
		budgets = append(budgets, p.budget("s"))
	}
	var firsts, sends []time.Duration
	begin := time.Unix(1000, 0)
	for at := time.Duration(0); at < calm+short; at += step {
		now := begin.Add(at)
		for i, budget := range budgets {
			// 64 requests a second, unevenly spread.
			if (int(at/step)+i)%(6+3*i) == 0 {
				budget.RecordFirst(now)
				firsts = append(firsts, at)
			}
			for at >= calm && budget.Allow(now, outcome.UpstreamLost) {
				sends = append(sends, at)
			}
		}
	}
	for from := calm - b.Window; from < calm+short-b.Window; from += step {
		requests, further := within(firsts, from, b.Window), within(sends, from, b.Window)
		if most := b.Ratio*float64(requests) + b.Slack; float64(further) > most {
			t.Fatalf("%d further sends for %d requests in the window from %v, allowed %.0f", further, requests, from, most)
		}
	}
	if further := within(sends, calm, b.Window); float64(further) < b.Slack/2 {
		t.Errorf("only %d further sends in the first window of need", further)
	}
}

// within counts the moments in a window.
func within(moments []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range moments {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}
