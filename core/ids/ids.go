// Package ids holds the identifier types shared by all packages, so that one
// kind of identifier cannot be passed where another is meant.
package ids

import (
	"cmp"
	"strconv"
)

// Request names one request within the fleet. The VM that admitted it makes
// it: unique across VMs and restarts.
type Request string

// Account names one client account.
type Account string

// Service names one routed service, for instance "mimosa-drafts".
type Service string

// Profile names one operator profile.
type Profile string

// Upstream names one back end: a model engine or a plain service process.
type Upstream string

// VM names one entry VM of the system.
type VM string

// Zone names one availability zone.
type Zone string

// Attempt numbers the sends of one request, from 1. Zero means no attempt.
type Attempt int

// Instance identifies one run of an upstream's process. A process that restarts
// under the same name has lost its state, so state recorded about one instance
// is never applied to another.
type Instance struct {
	Upstream Upstream `json:"upstream"`
	// StartedMs is the start time of the process in Unix milliseconds. 0 means
	// that the upstream doesn't report it; all its runs then count as one
	// instance.
	StartedMs int64 `json:"born,omitempty"`
}

// String returns the upstream's name, followed by "@" and the start time if it
// is known.
func (i Instance) String() string {
	if i.StartedMs == 0 {
		return string(i.Upstream)
	}
	return string(i.Upstream) + "@" + strconv.FormatInt(i.StartedMs, 10)
}

// Compare orders instances by the upstream's name, then by start time.
func (i Instance) Compare(other Instance) int {
	return cmp.Or(cmp.Compare(i.Upstream, other.Upstream), cmp.Compare(i.StartedMs, other.StartedMs))
}

// NewerThan reports whether i is an instance of the same upstream as other and
// started later.
func (i Instance) NewerThan(other Instance) bool {
	return i.Upstream == other.Upstream && i.StartedMs > other.StartedMs
}
