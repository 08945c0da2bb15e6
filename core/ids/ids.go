// Package ids holds the identifier types shared by all packages, so that one
// kind of identifier cannot be passed where another is meant.
package ids

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
