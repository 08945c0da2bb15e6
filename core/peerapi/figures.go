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

// Figures are the numbers of a digest that change from round to round, as values by
// position in an earlier, full digest, the base. Each slice has the length of the
// corresponding part of the base.
//
// In a message they are a JSON string that contains JSON arrays of numbers, in the
// order of the fields. The envelope of a call is parsed several times, but the
// content of a string only once.
type Figures struct {
	// InFlight are the counts for the upstreams in the InFlight of the base,
	// ordered by name; 0 means that the upstream has none.
	InFlight []int
	// Demands are the demands of the accounts in the Usage of the base, rounded to
	// four significant digits; 0 means that the account is absent.
	Demands []float64
	// Running, ReportAges and Ages belong to the Loads of the base: Running and
	// AgeMs of the report, and AgeNs in milliseconds. All other fields are
	// unchanged from the base. An age of ageAbsent means that the entry of the base
	// is not part of the digest; a changed one is in Loads instead.
	Running    []int
	ReportAges []int64
	Ages       []int64
}

// figureArrays is the JSON form of Figures.
type figureArrays [5]any

// MarshalJSON implements json.Marshaler.
func (f *Figures) MarshalJSON() ([]byte, error) {
	inner, err := json.Marshal(figureArrays{f.InFlight, f.Demands, f.Running, f.ReportAges, f.Ages})
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
	return json.Unmarshal([]byte(inner), &figureArrays{&f.InFlight, &f.Demands, &f.Running, &f.ReportAges, &f.Ages})
}

// ageAbsent is the value in Ages for an entry of the base that is not part of the
// digest.
const ageAbsent = -1

// demandDecimals is the number of digits of a demand after the first significant
// one.
const demandDecimals = 3

// Delta returns the digest as its difference from a base, which must be a full
// digest of the same boot. d itself is not changed.
func (d *Digest) Delta(base *Digest) Digest {
	out := *d
	out.Base = base.Seq
	out.Figures = &Figures{}
	out.setInFlightDelta(d, base)
	out.setUsageDelta(d, base)
	out.setLoadsDelta(d, base)
	return out
}

// setInFlightDelta sets the counts for the upstreams in base and keeps the others
// in InFlight.
func (d *Digest) setInFlightDelta(full, base *Digest) {
	d.InFlight = maps.Clone(full.InFlight)
	for _, id := range sortedNames(base.InFlight) {
		d.Figures.InFlight = append(d.Figures.InFlight, full.InFlight[id])
		delete(d.InFlight, id)
	}
}

// setUsageDelta sets the demands for the accounts in base and keeps the others in
// Usage.
func (d *Digest) setUsageDelta(full, base *Digest) {
	demands := make(map[ids.Account]float64, len(full.Usage))
	for _, u := range full.Usage {
		demands[u.Account] = u.Demand
	}
	for _, u := range base.Usage {
		d.Figures.Demands = append(d.Figures.Demands, roundDemand(demands[u.Account]))
		delete(demands, u.Account)
	}
	d.Usage = nil
	for _, u := range full.Usage {
		if _, left := demands[u.Account]; left {
			d.Usage = append(d.Usage, u)
		}
	}
}

// setLoadsDelta sets the figures of the loads that differ from base only in them,
// and keeps the others in Loads.
func (d *Digest) setLoadsDelta(full, base *Digest) {
	byEngine := make(map[string]*Load, len(full.Loads))
	for i := range full.Loads {
		byEngine[full.Loads[i].Report.Engine] = &full.Loads[i]
	}
	for i := range base.Loads {
		load := byEngine[base.Loads[i].Report.Engine]
		if load == nil || !equalExceptFigures(load, &base.Loads[i]) {
			d.Figures.appendLoad(0, 0, ageAbsent)
			continue
		}
		age := time.Duration(load.AgeNs) + time.Millisecond - 1
		d.Figures.appendLoad(load.Report.Running, load.Report.AgeMs, age.Milliseconds())
		delete(byEngine, load.Report.Engine)
	}
	d.Loads = nil
	for i := range full.Loads {
		if load := byEngine[full.Loads[i].Report.Engine]; load == &full.Loads[i] {
			d.Loads = append(d.Loads, *load)
		}
	}
}

// appendLoad appends the figures of one load.
func (f *Figures) appendLoad(running int, reportAge, age int64) {
	f.Running = append(f.Running, running)
	f.ReportAges = append(f.ReportAges, reportAge)
	f.Ages = append(f.Ages, age)
}

// equalExceptFigures reports whether two loads are equal except for their figures.
func equalExceptFigures(a, b *Load) bool {
	x, y := &a.Report, &b.Report
	return a.Relayed == b.Relayed && x.Epoch == y.Epoch && x.Model == y.Model &&
		x.First == y.First && x.Last == y.Last && x.Slots == y.Slots &&
		x.TokensPerSecond == y.TokensPerSecond && x.Leaving == y.Leaving &&
		slices.Equal(x.Links, y.Links)
}

// roundDemand rounds a demand to the digits that are sent.
func roundDemand(demand float64) float64 {
	if demand <= 0 || math.IsInf(demand, 0) {
		return demand
	}
	scale := math.Pow(10, demandDecimals-math.Floor(math.Log10(demand)))
	if math.IsInf(scale, 0) || scale == 0 {
		return demand
	}
	return math.Round(demand*scale) / scale
}

// sortedNames returns the keys of counts in order.
func sortedNames(counts map[ids.Upstream]int) []ids.Upstream {
	return slices.Sorted(maps.Keys(counts))
}

// Expand is the inverse of Delta: it returns the full digest. The error is an
// *InvalidError if d is not a delta from this base.
func (d *Digest) Expand(base *Digest) (Digest, error) {
	f := d.Figures
	if f == nil || d.Base != base.Seq || d.Boot != base.Boot || d.VM != base.VM || d.Zone != base.Zone {
		return Digest{}, &InvalidError{Field: "base", Detail: "not that of the digest"}
	}
	if err := f.checkLengths(base); err != nil {
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
	out.Usage = expandUsage(d, base)
	out.Loads = expandLoads(d, base)
	return out, nil
}

// checkLengths checks that each slice has the length of its part of the base.
func (f *Figures) checkLengths(base *Digest) error {
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

// expandUsage returns the demands of the full digest, the largest first.
func expandUsage(d, base *Digest) []AccountUsage {
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

// expandLoads returns the loads of the full digest.
func expandLoads(d, base *Digest) []Load {
	f := d.Figures
	out := make([]Load, 0, len(base.Loads)+len(d.Loads))
	for i, load := range base.Loads {
		if f.Ages[i] == ageAbsent {
			continue
		}
		load.Report.Running = f.Running[i]
		load.Report.AgeMs = f.ReportAges[i]
		load.AgeNs = int64(time.Duration(f.Ages[i]) * time.Millisecond)
		out = append(out, load)
	}
	return append(out, d.Loads...)
}
