package peerapi

import (
	"fmt"
	"math"
	"net/netip"

	"mimosaarch.example/core/engineapi"
)

// Limits of messages.
const (
	// MaxMessageBytes limits a message.
	MaxMessageBytes = 8 << 20
	// MaxNameBytes limits a name or a key.
	MaxNameBytes = 512
	// MaxDetailBytes limits an explanation for people.
	MaxDetailBytes = 4096
	// MaxUpstreams limits the entries of each list or map of a Digest that has one
	// per upstream.
	MaxUpstreams = 8192
	// MaxUsageEntries limits Digest.Usage.
	MaxUsageEntries = 1024
	// MaxQuarantine limits Digest.Quarantine.
	MaxQuarantine = 4096
	// MaxLinks limits the links in a load report.
	MaxLinks = 1024
	// MaxSummary limits Pull.Summary.
	MaxSummary = 1 << 14
	// MaxPullBytes limits the total size of the values in a PullReply with several
	// objects.
	MaxPullBytes = 1 << 20
	// MaxObjects limits PullReply.Objects.
	MaxObjects = MaxSummary
	// MaxVMs limits a list of VMs.
	MaxVMs = 1 << 14
	// MaxKnownPeers limits DigestReply.KnownPeers.
	MaxKnownPeers = 64
	// MaxDecisions limits ExplainReply.Decisions.
	MaxDecisions = 1024
)

// InvalidError is returned for a message that is malformed.
type InvalidError struct {
	// Field is the name of the field.
	Field string
	// Detail describes what is wrong.
	Detail string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("peer message: %s: %s", e.Field, e.Detail)
}

// OversizeError is returned for a message with a field that is too large.
type OversizeError struct {
	// Field is the name of the field.
	Field string
	// Size is the length of the field and Limit the maximum.
	Size, Limit int
}

// Error implements error.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("peer message: %s: size %d is above %d", e.Field, e.Size, e.Limit)
}

// checker keeps the first error in a message.
type checker struct{ err error }

// fail records a malformed field.
func (c *checker) fail(field, detail string) {
	if c.err == nil {
		c.err = &InvalidError{Field: field, Detail: detail}
	}
}

// sizeAtMost checks a count or a length.
func (c *checker) sizeAtMost(field string, size, limit int) {
	if c.err == nil && size > limit {
		c.err = &OversizeError{Field: field, Size: size, Limit: limit}
	}
}

// name checks a required name.
func (c *checker) name(field, name string) {
	if name == "" {
		c.fail(field, "missing")
	}
	c.sizeAtMost(field, len(name), MaxNameBytes)
}

// address checks that address is an IP address and port.
func (c *checker) address(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.fail(field, "not an IP address and a port")
	}
}

// atLeast checks a lower bound.
func (c *checker) atLeast(field string, value, bound int64) {
	if value < bound {
		c.fail(field, fmt.Sprintf("%d is below %d", value, bound))
	}
}

// finite checks that a rate or a demand is finite and not negative.
func (c *checker) finite(field string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		c.fail(field, "not a finite figure of at least 0")
	}
}

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (d *Digest) Validate() error {
	var c checker
	c.name("vm", string(d.VM))
	c.name("zone", string(d.Zone))
	c.name("boot", d.Boot)
	if d.Seq == 0 {
		c.fail("seq", "missing")
	}
	c.address("address", d.Address)
	c.atLeast("config_revision", d.ConfigRevision, 0)
	c.atLeast("vms_revision", d.VMsRevision, 0)
	c.sizes(d)
	if c.err != nil {
		return c.err
	}
	c.entries(d)
	c.figures(d)
	return c.err
}

// sizes checks the lengths of the parts of a digest.
func (c *checker) sizes(d *Digest) {
	c.sizeAtMost("in_flight", len(d.InFlight), MaxUpstreams)
	c.sizeAtMost("usage", len(d.Usage), MaxUsageEntries)
	c.sizeAtMost("quarantine", len(d.Quarantine), MaxQuarantine)
	c.sizeAtMost("health", len(d.Health), MaxUpstreams)
	c.sizeAtMost("leaving", len(d.Leaving), MaxUpstreams)
	c.sizeAtMost("loads", len(d.Loads), MaxUpstreams)
}

// entries checks the entries of a digest.
func (c *checker) entries(d *Digest) {
	for id, n := range d.InFlight {
		c.name("in_flight", string(id))
		c.atLeast("in_flight", int64(n), 1)
	}
	for _, u := range d.Usage {
		c.name("usage.account", string(u.Account))
		c.finite("usage.demand", u.Demand)
	}
	for _, q := range d.Quarantine {
		c.name("quarantine.kind", q.Kind)
		c.name("quarantine.upstream", string(q.Upstream))
		c.sizeAtMost("quarantine.epoch", len(q.Epoch), MaxNameBytes)
		c.sizeAtMost("quarantine.fingerprint", len(q.Fingerprint), MaxNameBytes)
		c.atLeast("quarantine.age_ns", q.AgeNs, 0)
		c.atLeast("quarantine.ran_ns", q.RanNs, 0)
	}
	for _, o := range d.Health {
		c.name("health.upstream", string(o.Upstream))
		c.name("health.state", o.State)
	}
	for _, id := range d.Leaving {
		c.name("leaving", string(id))
	}
	for _, l := range d.Loads {
		c.atLeast("loads.age_ns", l.AgeNs, 0)
		c.report(l.Report)
	}
}

// report checks a load report.
func (c *checker) report(r engineapi.LoadReport) {
	c.name("loads.engine", r.Engine)
	c.sizeAtMost("loads.epoch", len(r.Epoch), MaxNameBytes)
	c.sizeAtMost("loads.model", len(r.Model), MaxNameBytes)
	c.atLeast("loads.first", int64(r.First), 0)
	c.atLeast("loads.slots", int64(r.Slots), 0)
	c.atLeast("loads.running", int64(r.Running), 0)
	c.atLeast("loads.age_ms", r.AgeMs, 0)
	c.finite("loads.tokens_per_second", r.TokensPerSecond)
	c.sizeAtMost("loads.links", len(r.Links), MaxLinks)
	for _, link := range r.Links[:min(len(r.Links), MaxLinks)] {
		c.name("loads.links.to", link.To)
		c.atLeast("loads.links.latency_us", link.LatencyUs, 0)
		c.finite("loads.links.tokens_per_second", link.TokensPerSecond)
	}
}
