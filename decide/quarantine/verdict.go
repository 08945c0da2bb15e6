package quarantine

import (
	"time"

	"mimosaarch.example/core/ids"
)

// Verdict tells peers that requests with a fingerprint crash upstreams and must
// be refused.
type Verdict struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// For is how long the requests are refused, from when the Verdict is sent.
	For time.Duration `json:"for_ns"`
	// Service is the service of the requests, and Evidence the newest evidence against
	// them. A node that has served such a request since does not follow the verdict.
	Service  ids.Service `json:"service,omitempty"`
	Evidence []Event     `json:"evidence,omitempty"`
}
