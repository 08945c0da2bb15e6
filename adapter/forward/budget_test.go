package forward

import (
	"testing"
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/retry"
)

// Guards against nodes that together exceed the retry budget in a window, such as 344 retries
// in ten seconds where 336 were allowed. A decaying allowance grants what it holds at once
// and, if it is used up continuously, the same again within the next window. With six tenths
// of its share as allowance, a node could use 1.2 times its share.
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
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < calm+short; at += step {
		now := start.Add(at)
		for i, budget := range budgets {
			// 64 requests a second, unevenly spread.
			if (int(at/step)+i)%(6+3*i) == 0 {
				budget.RecordFirst(now)
				firsts = append(firsts, at)
			}
			for at >= calm && budget.Allow(now, outcome.UpstreamLost, retry.BrokenStream) {
				sends = append(sends, at)
			}
		}
	}
	for from := calm - b.Window; from < calm+short-b.Window; from += step {
		requests, retries := within(firsts, from, b.Window), within(sends, from, b.Window)
		if limit := b.Ratio*float64(requests) + b.Slack; float64(retries) > limit {
			t.Fatalf("%d retries for %d requests in the window from %v, allowed %.0f", retries, requests, from, limit)
		}
	}
	if retries := within(sends, calm, b.Window); float64(retries) < b.Slack/2 {
		t.Errorf("only %d retries in the first window of demand", retries)
	}
}

// within returns the number of moments in a window.
func within(moments []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range moments {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}
