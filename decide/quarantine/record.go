package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// recordingKeepers is how many keepers of a service record its verdicts. The first keepers
	// are in different availability zones.
	recordingKeepers = 4
	// maxRecordedVerdicts bounds the verdicts of one Record, those that end last, and
	// maxRecordedEvents the evidence of each. A Record then takes up to 6 KB.
	maxRecordedVerdicts = 8
	maxRecordedEvents   = 4
	// maxFingerprintBytes is longer than any fingerprint.
	maxFingerprintBytes = 128
	// recordSlack is how much earlier than the verdict its record may end.
	recordSlack = time.Minute
)

// Record holds verdicts for the nodes that start after all others have ended. Keepers write it to
// the platform's store.
type Record struct {
	// AtMs is the time of day at which it was written, in milliseconds since 1970.
	AtMs int64 `json:"at_ms"`
	// Verdicts are as of AtMs.
	Verdicts []Verdict `json:"verdicts"`
}

// Record returns the verdicts in force that this node has to record as one of the first keepers of
// their services, at a time of day in milliseconds.
func (dec *Decider) Record(now time.Time, wallMs int64, role func(ids.Service) Role) Record {
	r := Record{AtMs: wallMs}
	for fp, held := range dec.verdicts {
		if held.service == "" || !dec.inForce(now, held.service, fp) || !role(held.service).records() {
			continue
		}
		v := dec.verdict(now, held.service, fp, held.until)
		v.Evidence = slices.DeleteFunc(v.Evidence, func(e Event) bool { return e.Kind != Blamed })
		v.Evidence = v.Evidence[max(0, len(v.Evidence)-maxRecordedEvents):]
		r.Verdicts = append(r.Verdicts, v)
	}
	slices.SortFunc(r.Verdicts, func(x, y Verdict) int {
		return cmp.Or(cmp.Compare(y.For, x.For), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	r.Verdicts = r.Verdicts[:min(len(r.Verdicts), maxRecordedVerdicts)]
	return r
}

// records reports whether a node with this role records verdicts.
func (r Role) records() bool { return r.Keeper && r.Rank < recordingKeepers }

// Covers reports whether a node that has written r need not write other in its place: both refuse
// the same requests, and not much longer.
func (r Record) Covers(other Record) bool {
	return len(r.Verdicts) == len(other.Verdicts) && !slices.ContainsFunc(other.Verdicts, func(v Verdict) bool {
		i := slices.IndexFunc(r.Verdicts, func(mine Verdict) bool { return mine.Fingerprint == v.Fingerprint })
		return i < 0 || other.end(v)-r.end(r.Verdicts[i]) > recordSlack
	})
}

// end returns when a verdict of the record ends, since 1970.
func (r Record) end(v Verdict) time.Duration {
	return time.Duration(r.AtMs)*time.Millisecond + v.For
}

// Recall returns the verdicts of a record that are in force at a time of day, as of then. It leaves
// out what no node has written. A time before that of the record counts as equal to it, since clocks
// may jump.
func (r Record) Recall(wallMs int64) []Verdict {
	elapsed := max(time.Duration(wallMs-r.AtMs)*time.Millisecond, 0)
	var verdicts []Verdict
	for _, v := range r.Verdicts[:min(len(r.Verdicts), maxRecordedVerdicts)] {
		if v.For -= elapsed; v.For <= 0 || v.Service == "" || len(v.Fingerprint) > maxFingerprintBytes {
			continue
		}
		v.Evidence = slices.Clone(v.Evidence[:min(len(v.Evidence), maxRecordedEvents)])
		for i := range v.Evidence {
			v.Evidence[i].Age = max(v.Evidence[i].Age, 0) + elapsed
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}
