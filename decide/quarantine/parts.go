package quarantine

import (
	"slices"
	"time"
)

// A part of prompts may crash each engine that begins to write an answer on it, whatever else
// the request holds. Such requests share no fingerprint but that of the part. It is blamed for
// the deaths at which requests with it were lost, like the fingerprint of a request, except:
//
//   - A death counts only for a request that no other death was counted for. So a request
//     that is sent again after each crash is no evidence against the parts that it shares
//     with others.
//   - One upstream more is needed, as many requests are refused with it.
//   - A request with the part that had an event LivedTime after its first one has
//     succeeded as of the first. That clears the part of earlier deaths and excuses it of
//     those within successMemory after, since the part may have turned bad only then.
//   - Requests are no rivals of a part, since each of them is blamed for the deaths of its
//     own runs only.
//
// Requests that share other parts with the bad ones, or the caller, go on meanwhile, and their
// successes leave the bad part as the only one that explains the deaths.
const (
	// partExtraUpstreams is how many upstreams more than Threshold a part must be blamed for.
	partExtraUpstreams = 1
	// excusedWeight is how much a death counts for a part that is excused of it.
	excusedWeight = 0.6
	// maxVia is the number of requests with a part that are remembered for one death.
	maxVia = 4
)

// LivedTime is how long after the first event of a run another one has to come for the run to
// count as a success of the parts of its prompt.
const LivedTime = 500 * time.Millisecond

// RecordLived records that requests with a part succeeded as of an earlier time. It reports
// whether that cleared the part of a death, or excused it.
func (det *Detector) RecordLived(at time.Time, part Fingerprint) (cleared bool) {
	if known, ok := det.successes[part]; ok && !at.After(known) {
		return false
	}
	det.storeSuccess(at, part)
	return det.applyLived(at, part)
}

// applyLived clears a part of earlier deaths, and excuses it of those shortly after.
func (det *Detector) applyLived(at time.Time, part Fingerprint) (cleared bool) {
	s := det.suspects[part]
	if s == nil {
		return false
	}
	for _, c := range s.charges {
		switch b := c.blame; {
		case b.cleared:
		case !at.Before(c.death.at):
			cleared = det.clear(c.death, part) || cleared
		case !b.excused && !at.Before(c.death.at.Add(-successMemory)):
			b.excused, cleared = true, true
			s.summarized = false
		}
	}
	return cleared
}

// otherRequest returns one of some requests that is not among those used.
func otherRequest(requests, used []Fingerprint) (Fingerprint, bool) {
	for _, r := range requests {
		if !slices.Contains(used, r) {
			return r, true
		}
	}
	return "", false
}
