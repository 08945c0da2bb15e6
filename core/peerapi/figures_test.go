package peerapi

import (
	"encoding/json"
	"errors"
	"maps"
	"math"
	"slices"
	"testing"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
)

// baseAndNext returns two consecutive digests that differ in every way that a delta
// must represent.
func baseAndNext() (base, next Digest) {
	base = validDigest()
	base.InFlight = map[ids.Upstream]int{"e1": 1, "e2": 2, "e3": 3}
	base.Usage = []AccountUsage{{"x", 9}, {"y", 5}}
	base.Loads = nil
	for _, engine := range []string{"e1", "e2", "e3"} {
		report := engineapi.LoadReport{Engine: engine, Slots: 4, Links: []engineapi.Link{{To: "f"}}}
		base.Loads = append(base.Loads, Load{Report: report})
	}
	next = base
	next.Seq = 2
	next.InFlight = map[ids.Upstream]int{"e1": 1, "e3": 7, "e4": 4}
	next.Usage = []AccountUsage{{"z", 8}, {"y", 1.2346}}
	next.Loads = slices.Clone(base.Loads)
	next.Loads[0].Report.Running = 3
	next.Loads[0].AgeNs = 5_000_000
	next.Loads[1].Report.Slots = 5
	next.Loads = slices.Delete(next.Loads, 2, 3)
	return base, next
}

func TestDeltaAndExpand(t *testing.T) {
	base, next := baseAndNext()
	update := next.Delta(&base)
	if len(update.InFlight) != 1 || len(update.Usage) != 1 || len(update.Loads) != 1 {
		t.Fatalf("%+v", update)
	}
	data, err := json.Marshal(&update)
	if err != nil {
		t.Fatal(err)
	}
	var received Digest
	if err := json.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	if err := received.Validate(); err != nil {
		t.Fatal(err)
	}
	got, err := received.Expand(&base)
	if err != nil {
		t.Fatal(err)
	}
	next.Usage[1].Demand = 1.235
	slices.SortFunc(next.Loads, byEngine)
	slices.SortFunc(got.Loads, byEngine)
	want, _ := json.Marshal(next)
	have, _ := json.Marshal(got)
	if string(want) != string(have) {
		t.Fatalf("got  %s\nwant %s", have, want)
	}
	if len(base.InFlight) != 3 || base.Loads[0].Report.Running != 0 {
		t.Fatal("Delta or Expand changed the base")
	}
}

func byEngine(a, b Load) int {
	if a.Report.Engine < b.Report.Engine {
		return -1
	}
	return 1
}

func TestFiguresAreChecked(t *testing.T) {
	base, next := baseAndNext()
	update := next.Delta(&base)
	cases := map[string]func(*Digest){
		"no figures":       func(d *Digest) { d.Figures = nil },
		"no base":          func(d *Digest) { d.Base = 0 },
		"later base":       func(d *Digest) { d.Base = d.Seq + 1 },
		"negative count":   func(d *Digest) { d.Figures.InFlight[0] = -1 },
		"endless demand":   func(d *Digest) { d.Figures.Demands[0] = math.Inf(1) },
		"negative running": func(d *Digest) { d.Figures.Running[0] = -1 },
		"negative age":     func(d *Digest) { d.Figures.Ages[0] = -2 },
		"negative report":  func(d *Digest) { d.Figures.ReportAges[0] = -1 },
		"endless age":      func(d *Digest) { d.Figures.Ages[0] = math.MaxInt64 },
		"other base":       func(d *Digest) { d.BaseDigest = &next },
		"bad base":         func(d *Digest) { b := base; b.Address = "host:1"; d.BaseDigest = &b },
		"base of a base":   func(d *Digest) { b := base; b.Figures = &Figures{}; d.BaseDigest = &b },
		"base without use": func(d *Digest) { d.Base, d.Figures, d.BaseDigest = 0, nil, &base },
	}
	for name, corrupt := range cases {
		d := update
		f := *update.Figures
		f.InFlight, f.Demands = slices.Clone(f.InFlight), slices.Clone(f.Demands)
		f.Running, f.ReportAges, f.Ages = slices.Clone(f.Running), slices.Clone(f.ReportAges), slices.Clone(f.Ages)
		d.Figures = &f
		corrupt(&d)
		if err := d.Validate(); !errors.As(err, new(*InvalidError)) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	wrong := map[string]func(*Digest){
		"boot":      func(d *Digest) { d.Boot = "c" },
		"sequence":  func(d *Digest) { d.Seq = 9 },
		"in flight": func(d *Digest) { d.InFlight = maps.Clone(d.InFlight); d.InFlight["e9"] = 1 },
		"usage":     func(d *Digest) { d.Usage = d.Usage[1:] },
		"loads":     func(d *Digest) { d.Loads = d.Loads[1:] },
	}
	for name, corrupt := range wrong {
		other := base
		corrupt(&other)
		if _, err := update.Expand(&other); !errors.As(err, new(*InvalidError)) {
			t.Errorf("base with other %s: got %v", name, err)
		}
	}
}
