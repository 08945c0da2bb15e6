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

// Life names one process of an upstream, from its start to its end. A process
// may start again under the same name: it then holds and knows nothing of what
// was before, so that what is known of one life never counts for another.
type Life struct {
	Upstream Upstream `json:"upstream"`
	// Born is the Unix time of its start in ms, 0 where it is not told: then the
	// name alone stands for one life.
	Born int64 `json:"born,omitempty"`
}

// String gives the name, with the start behind an @ where it is told.
func (l Life) String() string {
	if l.Born == 0 {
		return string(l.Upstream)
	}
	return string(l.Upstream) + "@" + strconv.FormatInt(l.Born, 10)
}

// Compare orders lives by name, and those of one name by their start.
func (l Life) Compare(other Life) int {
	return cmp.Or(cmp.Compare(l.Upstream, other.Upstream), cmp.Compare(l.Born, other.Born))
}

// Later reports whether a life of the same name began after another.
func (l Life) Later(other Life) bool {
	return l.Upstream == other.Upstream && l.Born > other.Born
}
