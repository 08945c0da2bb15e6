package quarantine

import "time"

// Verdict tells peers that requests with a fingerprint crash upstreams and must
// be refused.
type Verdict struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// For is how long the requests are refused, from when the Verdict is sent.
	For time.Duration `json:"for_ns"`
}
