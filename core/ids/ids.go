// Package ids defines the identifier types shared by all packages, so that the
// compiler rejects one kind of identifier where another is expected.
package ids

import (
	"cmp"
	"strconv"
)

// Request identifies a request across all VMs and their restarts. The VM that
// admits the request generates it.
type Request string

// Account is the ID of a client account.
type Account string

// Service is the name of a service, for instance "mimosa-drafts".
type Service string

// PromptPart is the ID of a part of a prompt that requests share, such as a system prompt.
type PromptPart string

// Profile is the name of an operator profile.
type Profile string

// Upstream is the ID of a back end: a model engine or a plain service process.
type Upstream string

// VM is the ID of an entry VM.
type VM string

// Zone is the name of an availability zone.
type Zone string

// Attempt is the number of an attempt within its request, counted from 1. Zero
// means no attempt.
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
