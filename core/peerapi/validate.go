package peerapi

import (
	"fmt"
	"math"
	"net/netip"

	"mimosaarch.example/core/engineapi"
)

// Bounds of messages.
const (
	// MaxMessageBytes is the most bytes of a message on the wire.
	MaxMessageBytes = 8 << 20
	// MaxNameBytes is the most bytes of a name or a key.
	MaxNameBytes = 512
	// MaxDetailBytes is the most bytes of a sentence for people.
	MaxDetailBytes = 4096
	// MaxUpstreams bounds the entries of Digest that are by upstream.
	MaxUpstreams = 8192
	// MaxUsageEntries bounds Digest.Usage.
	MaxUsageEntries = 1024
	// MaxQuarantine bounds Digest.Quarantine.
	MaxQuarantine = 4096
	// MaxLinks bounds the links in a load report.
	MaxLinks = 1024
	// MaxSummary bounds Pull.Summary.
	MaxSummary = 1 << 14
	// MaxPullBytes bounds the values of a PullReply of several objects.
	MaxPullBytes = 1 << 20
	// MaxObjects bounds the objects of a PullReply.
	MaxObjects = MaxSummary
	// MaxVMs bounds a list of VMs.
	MaxVMs = 1 << 14
	// MaxKnownPeers bounds DigestReply.Known.
	MaxKnownPeers = 64
	// MaxDecisions bounds an ExplainReply.
	MaxDecisions = 1024
)

// InvalidError refuses a message whose form is wrong.
type InvalidError struct {
	// Field is the field at fault.
	Field string
	// Detail tells what is wrong.
	Detail string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("peer message: %s: %s", e.Field, e.Detail)
}

// OversizeError refuses a message with too much in it.
type OversizeError struct {
	// Field is the field at fault.
	Field string
	// Size is what it holds, Limit the most it may.
	Size, Limit int
}

// Error implements error.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("peer message: %s: size %d is above %d", e.Field, e.Size, e.Limit)
}

// checker keeps the first fault of a message.
type checker struct{ err error }

// fail notes a fault of form.
func (c *checker) fail(field, detail string) {
	if c.err == nil {
		c.err = &InvalidError{Field: field, Detail: detail}
	}
}

// size checks a count or a length.
func (c *checker) size(field string, size, limit int) {
	if c.err == nil && size > limit {
		c.err = &OversizeError{Field: field, Size: size, Limit: limit}
	}
}

// name checks a name that must be there.
func (c *checker) name(field, name string) {
	if name == "" {
		c.fail(field, "missing")
	}
	c.size(field, len(name), MaxNameBytes)
}

// address checks an IP address and port.
func (c *checker) address(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.fail(field, "not an IP address and a port")
	}
}

// least checks a lower bound.
func (c *checker) least(field string, value, bound int64) {
	if value < bound {
		c.fail(field, fmt.Sprintf("%d is below %d", value, bound))
	}
}

// figure checks a rate or a demand.
func (c *checker) figure(field string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		c.fail(field, "not a finite figure of at least 0")
	}
}

// Validate gives an *InvalidError or an *OversizeError; nil when the message
// may be used.
func (d *Digest) Validate() error {
	var c checker
	c.name("vm", string(d.VM))
	c.name("zone", string(d.Zone))
	c.name("boot", d.Boot)
	if d.Seq == 0 {
		c.fail("seq", "missing")
	}
	c.address("address", d.Address)
	c.least("config_revision", d.ConfigRevision, 0)
	c.least("vms_revision", d.VMsRevision, 0)
	c.sizes(d)
	if c.err != nil {
		return c.err
	}
	c.entries(d)
	c.figures(d)
	return c.err
}

// sizes bounds the parts of a digest.
func (c *checker) sizes(d *Digest) {
	c.size("in_flight", len(d.InFlight), MaxUpstreams)
	c.size("usage", len(d.Usage), MaxUsageEntries)
	c.size("quarantine", len(d.Quarantine), MaxQuarantine)
	c.size("health", len(d.Health), MaxUpstreams)
	c.size("leaving", len(d.Leaving), MaxUpstreams)
	c.size("loads", len(d.Loads), MaxUpstreams)
}

// entries checks the entries of a digest.
func (c *checker) entries(d *Digest) {
	for id, n := range d.InFlight {
		c.name("in_flight", string(id))
		c.least("in_flight", int64(n), 1)
	}
	for _, u := range d.Usage {
		c.name("usage.account", string(u.Account))
		c.figure("usage.demand", u.Demand)
	}
	for _, q := range d.Quarantine {
		c.name("quarantine.kind", q.Kind)
		c.name("quarantine.upstream", string(q.Upstream))
		c.size("quarantine.epoch", len(q.Epoch), MaxNameBytes)
		c.size("quarantine.fingerprint", len(q.Fingerprint), MaxNameBytes)
		c.least("quarantine.age_ns", q.AgeNs, 0)
	}
	for _, o := range d.Health {
		c.name("health.upstream", string(o.Upstream))
		c.name("health.state", o.State)
	}
	for _, id := range d.Leaving {
		c.name("leaving", string(id))
	}
	for _, l := range d.Loads {
		c.least("loads.age_ns", l.AgeNs, 0)
		c.report(l.Report)
	}
}

// report checks a load report.
func (c *checker) report(r engineapi.LoadReport) {
	c.name("loads.engine", r.Engine)
	c.size("loads.epoch", len(r.Epoch), MaxNameBytes)
	c.size("loads.model", len(r.Model), MaxNameBytes)
	c.least("loads.first", int64(r.First), 0)
	c.least("loads.slots", int64(r.Slots), 0)
	c.least("loads.running", int64(r.Running), 0)
	c.least("loads.age_ms", r.AgeMs, 0)
	c.figure("loads.tokens_per_second", r.TokensPerSecond)
	c.size("loads.links", len(r.Links), MaxLinks)
	for _, link := range r.Links[:min(len(r.Links), MaxLinks)] {
		c.name("loads.links.to", link.To)
		c.least("loads.links.latency_us", link.LatencyUs, 0)
		c.figure("loads.links.tokens_per_second", link.TokensPerSecond)
	}
}
