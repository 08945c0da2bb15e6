// Package settings reads and checks the YAML settings of one mimosad process.
// What operators change while nodes run stands in profiles, not here.
package settings

import (
	"cmp"
	"time"
)

// Settings of a node. Addresses are IP address and port.
type Settings struct {
	// VM is the entry VM's name, unique in the fleet. Required.
	VM string `yaml:"vm"`
	// Zone is the availability zone the VM stands in. Required.
	Zone string `yaml:"zone"`
	// Listen holds the node's own addresses.
	Listen Listen `yaml:"listen"`
	// Platform lists the addresses of the platform's object API. Required,
	// at least one.
	Platform []string `yaml:"platform"`
	// Peers lists peer addresses of other nodes to start from, for when the
	// platform cannot be asked for the list of VMs. Default none.
	Peers []string `yaml:"peers,omitempty"`
	// TLS holds the keys of links between nodes and of the operator port.
	// Default none: plain TCP, for tests on one machine only.
	TLS *TLS `yaml:"tls,omitempty"`
	// MaxRequests is the most requests held at once. Default 4096. More are
	// refused with queue_full.
	MaxRequests int `yaml:"max_requests,omitempty"`
	// MaxBody is the most bytes of a request's body. Default 1048576. Larger
	// ones are refused with body_too_large.
	MaxBody int `yaml:"max_body,omitempty"`
	// PollInterval is the pace at which an engine's load is asked for.
	// Default 250ms. Shorter notices failures earlier and costs more calls.
	PollInterval time.Duration `yaml:"poll_interval,omitempty"`
	// VMListInterval is the pace at which the platform's list of VMs is
	// read. Default 1s.
	VMListInterval time.Duration `yaml:"vm_list_interval,omitempty"`
	// DrainTimeout is the longest a planned stop waits for requests in
	// flight. Default 10m. It should exceed the longest deadline.
	DrainTimeout time.Duration `yaml:"drain_timeout,omitempty"`
	// Records is the count of decisions kept for explanations. Default 20000.
	Records int `yaml:"records,omitempty"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `yaml:"log_level,omitempty"`
}

// Listen holds the addresses a node listens on.
type Listen struct {
	// Callers is where callers' requests come in. Required.
	Callers string `yaml:"callers"`
	// Operators is where health checks, counters and explanations are asked
	// for. Required.
	Operators string `yaml:"operators"`
	// Peers is where other nodes call. Default none: the node stands alone.
	Peers string `yaml:"peers,omitempty"`
}

// TLS names the PEM files of a node's identity.
type TLS struct {
	// CA is the certificate that signs every member of the fleet. Required.
	CA string `yaml:"ca"`
	// Cert and Key are the node's own. Required.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// Defaults of Settings.
const (
	DefaultMaxRequests    = 4096
	DefaultMaxBody        = 1 << 20
	DefaultPollInterval   = 250 * time.Millisecond
	DefaultVMListInterval = time.Second
	DefaultDrainTimeout   = 10 * time.Minute
	DefaultRecords        = 20000
	DefaultLogLevel       = "info"
)

// WithDefaults fills the zero fields.
func (s Settings) WithDefaults() Settings {
	s.MaxRequests = cmp.Or(s.MaxRequests, DefaultMaxRequests)
	s.MaxBody = cmp.Or(s.MaxBody, DefaultMaxBody)
	s.PollInterval = cmp.Or(s.PollInterval, DefaultPollInterval)
	s.VMListInterval = cmp.Or(s.VMListInterval, DefaultVMListInterval)
	s.DrainTimeout = cmp.Or(s.DrainTimeout, DefaultDrainTimeout)
	s.Records = cmp.Or(s.Records, DefaultRecords)
	s.LogLevel = cmp.Or(s.LogLevel, DefaultLogLevel)
	return s
}
