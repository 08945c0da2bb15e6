package report

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/load"
)

// start is the start of every test's run.
var start = time.Unix(1000, 0)

// at returns a time given in milliseconds since the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// sample returns a request with a complete answer. Its due time and the arrival
// times of its tokens are in milliseconds since the start.
func sample(due int, tokens ...int) *load.Sample {
	s := &load.Sample{Due: at(due), Sent: at(due + 1), End: at(due + 1), Outcome: outcome.Complete}
	for _, ms := range tokens {
		s.Tokens = append(s.Tokens, at(ms))
		s.End = at(ms)
	}
	return s
}

// reportOf returns the report of samples, with a steady window from 1 s to 3 s,
// buckets of 1 s and a bound of 4 tokens per second.
func reportOf(samples ...*load.Sample) Report {
	r := New(Options{Start: start, WindowStart: time.Second, WindowEnd: 3 * time.Second, Bucket: time.Second, Bound: 4})
	for _, s := range samples {
		r.Observe(s)
	}
	return r.Report()
}

func TestThroughputCountsTheWindowOnly(t *testing.T) {
	cut := sample(1000, 2500)
	cut.Outcome, cut.Reason = outcome.Unknown, load.CutOff
	wrong := sample(1000, 1500, 1600, 1700)
	wrong.Wrong = true
	r := reportOf(sample(500, 900, 1000, 1100, 2999, 3000), cut, wrong)
	if r.Delivered != 2 || r.Goodput != 1.5 || r.Share != 0.5 || r.GoodputShare != 0.375 {
		t.Errorf("delivered %v, goodput %v, shares %v and %v; want 4 and 3 tokens in 2 s of 4 a second",
			r.Delivered, r.Goodput, r.Share, r.GoodputShare)
	}
	want := []Point{{0, 1, 1}, {1, 2, 2}, {2, 2, 1}, {3, 1, 1}}
	if d := cmp.Diff(want, r.Series); d != "" {
		t.Error(d)
	}
}

func TestLatenciesCountFromWhenDue(t *testing.T) {
	late := sample(1000, 1100, 1140, 1200)
	late.Sent = at(1050)
	refused := &load.Sample{Due: at(1200), Sent: at(1200), End: at(1201), Outcome: outcome.NotRun, Reason: outcome.QueueFull}
	r := reportOf(sample(900, 5000), late, refused, sample(3000, 9000))
	first := Latency{Count: 1, Mean: 100, P50: 100, P95: 100, P99: 100, Max: 100}
	if d := cmp.Diff(first, r.FirstToken, withinPrecision); d != "" {
		t.Errorf("first token: %s", d)
	}
	if r.TokenInterval.Count != 2 || !cmp.Equal(r.TokenInterval.Max, 60.0, withinPrecision) {
		t.Errorf("intervals are %+v, want 40 and 60 ms", r.TokenInterval)
	}
	if r.ModelAnswer.Count != 1 || !cmp.Equal(r.ModelAnswer.Max, 200.0, withinPrecision) {
		t.Errorf("model answers are %+v, want one of 200 ms", r.ModelAnswer)
	}
	if !cmp.Equal(r.SendDelay.Max, 50.0, withinPrecision) {
		t.Errorf("send delay is %+v, want at most 50 ms", r.SendDelay)
	}
}

// withinPrecision compares numbers up to the precision of the histograms.
var withinPrecision = cmp.Comparer(func(a, b float64) bool { return a-b < 0.2 && b-a < 0.2 })

func TestCounts(t *testing.T) {
	small := sample(1000, 1100)
	small.Account = 1
	refused := &load.Sample{Due: at(0), Sent: at(0), Outcome: outcome.NotRun, Reason: outcome.QueueFull, Retries: 2}
	r := reportOf(sample(1000, 1100, 1200), small, refused, &load.Sample{Due: at(0), NotSent: true})
	if r.Sent != 3 || r.NotSent != 1 || r.Retries != 2 {
		t.Errorf("%d sent, %d not sent, %d retries", r.Sent, r.NotSent, r.Retries)
	}
	if d := cmp.Diff(map[outcome.Outcome]int{outcome.Complete: 2, outcome.NotRun: 1}, r.Outcomes); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(map[outcome.Reason]int{outcome.QueueFull: 1}, r.Reasons); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]Account{{Sent: 2, Complete: 1, Tokens: 2}, {Sent: 1, Complete: 1, Tokens: 1}}, r.Accounts); d != "" {
		t.Error(d)
	}
}

func TestForms(t *testing.T) {
	r := reportOf(sample(1000, 1100, 1200, 2300))
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(data, &back); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(r, back); d != "" {
		t.Error(d)
	}
	var text bytes.Buffer
	r.Text(&text)
	if !strings.Contains(text.String(), "0.375 of 4.0 tokens/s") {
		t.Errorf("text is\n%s", text.String())
	}
	for name, magic := range map[string]string{"a.png": "\x89PNG", "a.svg": "<?xml"} {
		path := filepath.Join(t.TempDir(), name)
		if err := r.Plot(path); err != nil {
			t.Fatal(err)
		}
		data, err := os.ReadFile(path)
		if err != nil || !bytes.HasPrefix(data, []byte(magic)) {
			t.Errorf("%s starts with %.8q, error %v", name, data, err)
		}
	}
	if err := r.Plot(filepath.Join(t.TempDir(), "a.unknown")); err == nil {
		t.Error("a plot of an unknown format was written")
	}
	if err := (Report{}).Plot(filepath.Join(t.TempDir(), "empty.svg")); err != nil {
		t.Error(err)
	}
}
