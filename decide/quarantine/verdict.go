package quarantine

import "time"

// Verdict tells that requests of a fingerprint crash the upstreams that run
// them, as it is told to peers.
type Verdict struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// For is how long they are refused, from when it is told.
	For time.Duration `json:"for_ns"`
}
