package peerapi

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// Figures are the parts of a digest that change from round to round, by their
// places in an earlier digest, the base. Each slice has the length of the
// base's part.
//
// In a message they are a string that holds JSON arrays of numbers, in the
// order of the fields: the envelope of a call is parsed several times, and
// what is in a string only once.
type Figures struct {
	// InFlight are counts, by the base's InFlight in the order of its names;
	// 0 stands for an absent one.
	InFlight []int
	// Demands are those of the base's Usage, rounded to four digits; 0 stands
	// for an absent one.
	Demands []float64
	// Running, ReportAges and Ages are those of the base's Loads: a report's
	// Running and AgeMs, and the AgeNs in milliseconds. All else is as in the
	// base. An age of absent means that the base's entry no longer stands.
	Running    []int
	ReportAges []int64
	Ages       []int64
}

// plainFigures are Figures without their methods, as arrays.
type plainFigures [5]any

// MarshalJSON implements json.Marshaler.
func (f *Figures) MarshalJSON() ([]byte, error) {
	inner, err := json.Marshal(plainFigures{f.InFlight, f.Demands, f.Running, f.ReportAges, f.Ages})
	if err != nil {
		return nil, err
	}
	return json.Marshal(string(inner))
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *Figures) UnmarshalJSON(data []byte) error {
	var inner string
	if err := json.Unmarshal(data, &inner); err != nil {
		return err
	}
	return json.Unmarshal([]byte(inner), &plainFigures{&f.InFlight, &f.Demands, &f.Running, &f.ReportAges, &f.Ages})
}

// absent marks a load that is not as in the base.
const absent = -1

// demandDigits are the digits of a demand that are told, less one.
const demandDigits = 3

// Delta gives the digest as what differs from a base, which must be whole
// and of the same boot. The digest itself is not changed.
func (d *Digest) Delta(base *Digest) Digest {
	out := *d
	out.Base = base.Seq
	out.Figures = &Figures{}
	out.inFlightAgainst(d, base)
	out.usageAgainst(d, base)
	out.loadsAgainst(d, base)
	return out
}

// inFlightAgainst sets the counts, and keeps those without a place.
func (d *Digest) inFlightAgainst(whole, base *Digest) {
	d.InFlight = maps.Clone(whole.InFlight)
	for _, id := range sortedNames(base.InFlight) {
		d.Figures.InFlight = append(d.Figures.InFlight, whole.InFlight[id])
		delete(d.InFlight, id)
	}
}

// usageAgainst sets the demands, and keeps those without a place.
func (d *Digest) usageAgainst(whole, base *Digest) {
	demands := make(map[ids.Account]float64, len(whole.Usage))
	for _, u := range whole.Usage {
		demands[u.Account] = u.Demand
	}
	for _, u := range base.Usage {
		d.Figures.Demands = append(d.Figures.Demands, rounded(demands[u.Account]))
		delete(demands, u.Account)
	}
	d.Usage = nil
	for _, u := range whole.Usage {
		if _, left := demands[u.Account]; left {
			d.Usage = append(d.Usage, u)
		}
	}
}

// loadsAgainst sets the loads whose unchanging parts are the base's, and keeps
// the others.
func (d *Digest) loadsAgainst(whole, base *Digest) {
	byEngine := make(map[string]*Load, len(whole.Loads))
	for i := range whole.Loads {
		byEngine[whole.Loads[i].Report.Engine] = &whole.Loads[i]
	}
	for i := range base.Loads {
		load := byEngine[base.Loads[i].Report.Engine]
		if load == nil || !sameBut(load, &base.Loads[i]) {
			d.Figures.add(0, 0, absent)
			continue
		}
		age := time.Duration(load.AgeNs) + time.Millisecond - 1
		d.Figures.add(load.Report.Running, load.Report.AgeMs, age.Milliseconds())
		delete(byEngine, load.Report.Engine)
	}
	d.Loads = nil
	for i := range whole.Loads {
		if load := byEngine[whole.Loads[i].Report.Engine]; load == &whole.Loads[i] {
			d.Loads = append(d.Loads, *load)
		}
	}
}

// add adds the figures of one load.
func (f *Figures) add(running int, reportAge, age int64) {
	f.Running = append(f.Running, running)
	f.ReportAges = append(f.ReportAges, reportAge)
	f.Ages = append(f.Ages, age)
}

// sameBut reports whether two loads differ at most in their figures.
func sameBut(a, b *Load) bool {
	x, y := &a.Report, &b.Report
	return a.Relayed == b.Relayed && x.Epoch == y.Epoch && x.Model == y.Model &&
		x.First == y.First && x.Last == y.Last && x.Slots == y.Slots &&
		x.TokensPerSecond == y.TokensPerSecond && x.Leaving == y.Leaving &&
		slices.Equal(x.Links, y.Links)
}

// rounded cuts a demand to the digits that are told.
func rounded(demand float64) float64 {
	if demand <= 0 || math.IsInf(demand, 0) {
		return demand
	}
	scale := math.Pow(10, demandDigits-math.Floor(math.Log10(demand)))
	if math.IsInf(scale, 0) || scale == 0 {
		return demand
	}
	return math.Round(demand*scale) / scale
}

// sortedNames gives the names of counts in order.
func sortedNames(counts map[ids.Upstream]int) []ids.Upstream {
	return slices.Sorted(maps.Keys(counts))
}

// Expand undoes Against. The error is an *InvalidError: the digest is not one
// against this base.
func (d *Digest) Expand(base *Digest) (Digest, error) {
	f := d.Figures
	if f == nil || d.Base != base.Seq || d.Boot != base.Boot || d.VM != base.VM || d.Zone != base.Zone {
		return Digest{}, &InvalidError{Field: "base", Detail: "not that of the digest"}
	}
	if err := f.fits(base); err != nil {
		return Digest{}, err
	}
	out := *d
	out.Base = 0
	out.BaseDigest = nil
	out.Figures = nil
	out.InFlight = make(map[ids.Upstream]int, len(f.InFlight)+len(d.InFlight))
	maps.Copy(out.InFlight, d.InFlight)
	for i, id := range sortedNames(base.InFlight) {
		if f.InFlight[i] > 0 {
			out.InFlight[id] = f.InFlight[i]
		}
	}
	out.Usage = wholeUsage(d, base)
	out.Loads = wholeLoads(d, base)
	return out, nil
}

// fits checks that there is a figure for each place.
func (f *Figures) fits(base *Digest) error {
	pairs := []struct{ have, want int }{
		{len(f.InFlight), len(base.InFlight)},
		{len(f.Demands), len(base.Usage)},
		{len(f.Running), len(base.Loads)},
		{len(f.ReportAges), len(base.Loads)},
		{len(f.Ages), len(base.Loads)},
	}
	for _, p := range pairs {
		if p.have != p.want {
			return &InvalidError{Field: "figures", Detail: fmt.Sprintf("%d for %d places", p.have, p.want)}
		}
	}
	return nil
}

// wholeUsage gives all demands, the largest first.
func wholeUsage(d, base *Digest) []AccountUsage {
	out := slices.Clone(d.Usage)
	for i, u := range base.Usage {
		if demand := d.Figures.Demands[i]; demand > 0 {
			out = append(out, AccountUsage{Account: u.Account, Demand: demand})
		}
	}
	slices.SortFunc(out, func(a, b AccountUsage) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	return out
}

// wholeLoads gives all loads.
func wholeLoads(d, base *Digest) []Load {
	f := d.Figures
	out := make([]Load, 0, len(base.Loads)+len(d.Loads))
	for i, load := range base.Loads {
		if f.Ages[i] == absent {
			continue
		}
		load.Report.Running = f.Running[i]
		load.Report.AgeMs = f.ReportAges[i]
		load.AgeNs = int64(time.Duration(f.Ages[i]) * time.Millisecond)
		out = append(out, load)
	}
	return append(out, d.Loads...)
}
