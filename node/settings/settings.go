// Package settings reads and validates the YAML settings file of one mimosad
// process. Configuration that operators change while nodes run is in fleet
// profiles instead.
package settings

import (
	"cmp"
	"time"
)

// Settings are the settings of one node. Addresses have the form IP:port.
type Settings struct {
	// VM is the name of the entry VM, unique in the fleet. Required.
	VM string `yaml:"vm"`
	// Zone is the availability zone of the VM. Required.
	Zone string `yaml:"zone"`
	// Listen holds the addresses that the node listens on.
	Listen Listen `yaml:"listen"`
	// Platform lists the addresses of the platform's object API. Required, at
	// least one.
	Platform []string `yaml:"platform"`
	// Peers lists peer addresses of other nodes that are contacted while the
	// list of VMs cannot be read from the platform. Default none.
	Peers []string `yaml:"peers,omitempty"`
	// TLS names the key files for connections between nodes and for the
	// operator port. Default none, which means plain TCP and is meant only for
	// tests on one machine.
	TLS *TLS `yaml:"tls,omitempty"`
	// MaxRequests is the maximum number of requests held at once. Further
	// requests are refused with queue_full. Default 4096.
	MaxRequests int `yaml:"max_requests,omitempty"`
	// MaxBodyBytes is the maximum size of a request body. Larger requests are
	// refused with body_too_large. Default 1048576.
	MaxBodyBytes int `yaml:"max_body,omitempty"`
	// MaxHeldBytes is the maximum memory for the bodies of all requests that are being read or
	// served, and for long answers that are being delivered, in bytes, at least heldPerBody times MaxBodyBytes. Default 67108864, or twice that
	// least value if it is more.
	MaxHeldBytes int `yaml:"max_held,omitempty"`
	// MaxConnections is the maximum number of callers' connections. A connection takes up to 32 KB
	// beside the memory of MaxHeldBytes. Default 8192.
	MaxConnections int `yaml:"max_connections,omitempty"`
	// PollInterval is the interval between load polls of an engine. A shorter
	// interval detects failures earlier and costs more calls. Default 250ms.
	PollInterval time.Duration `yaml:"poll_interval,omitempty"`
	// VMListInterval is the interval between reads of the platform's list of
	// VMs. Default 1s.
	VMListInterval time.Duration `yaml:"vm_list_interval,omitempty"`
	// DrainTimeout is the maximum time that a draining node waits for requests
	// in flight. It should exceed the longest request deadline. Default 10m.
	DrainTimeout time.Duration `yaml:"drain_timeout,omitempty"`
	// Records is the number of routing decisions kept for explanations. Default
	// 20000.
	Records int `yaml:"records,omitempty"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `yaml:"log_level,omitempty"`
}

// Listen holds the addresses a node listens on.
type Listen struct {
	// Callers is the address for callers' requests. Required.
	Callers string `yaml:"callers"`
	// Operators is the address for health checks, metrics, status and
	// explanations. Required.
	Operators string `yaml:"operators"`
	// Peers is the address for other nodes. Default none: the node runs without
	// peers.
	Peers string `yaml:"peers,omitempty"`
}

// TLS names the PEM files of a node's TLS identity.
type TLS struct {
	// CA is the certificate of the authority that signs the certificates of all
	// members of the fleet. Required.
	CA string `yaml:"ca"`
	// Cert and Key are the certificate and private key of this node. Required.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// Defaults of Settings.
const (
	DefaultMaxRequests    = 4096
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxHeldBytes   = 64 << 20
	DefaultMaxConnections = 8192
	DefaultPollInterval   = 250 * time.Millisecond
	DefaultVMListInterval = time.Second
	DefaultDrainTimeout   = 10 * time.Minute
	DefaultRecords        = 20000
	DefaultLogLevel       = "info"
)

// heldPerBody is the number of times that the largest body fits into MaxHeldBytes at least: a body
// is copied while it grows and once more when it is parsed, and a part of the memory is reserved
// for small requests.
const heldPerBody = 4

// WithDefaults returns a copy of s in which zero fields have their defaults.
// Fields without a default are unchanged.
func (s Settings) WithDefaults() Settings {
	s.MaxRequests = cmp.Or(s.MaxRequests, DefaultMaxRequests)
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, DefaultMaxBodyBytes)
	s.MaxHeldBytes = cmp.Or(s.MaxHeldBytes, max(DefaultMaxHeldBytes, 2*heldPerBody*s.MaxBodyBytes))
	s.MaxConnections = cmp.Or(s.MaxConnections, DefaultMaxConnections)
	s.PollInterval = cmp.Or(s.PollInterval, DefaultPollInterval)
	s.VMListInterval = cmp.Or(s.VMListInterval, DefaultVMListInterval)
	s.DrainTimeout = cmp.Or(s.DrainTimeout, DefaultDrainTimeout)
	s.Records = cmp.Or(s.Records, DefaultRecords)
	s.LogLevel = cmp.Or(s.LogLevel, DefaultLogLevel)
	return s
}
