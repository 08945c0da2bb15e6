package peerapi

import "mimosaarch.example/core/platformapi"

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (r *DigestReply) Validate() error {
	var c checker
	c.name("vm", string(r.VM))
	c.name("zone", string(r.Zone))
	c.name("boot", r.Boot)
	c.atLeast("config_revision", r.ConfigRevision, 0)
	c.atLeast("vms_revision", r.VMsRevision, 0)
	c.sizeAtMost("known", len(r.KnownPeers), MaxKnownPeers)
	for _, k := range r.KnownPeers[:min(len(r.KnownPeers), MaxKnownPeers)] {
		c.name("known.vm", string(k.VM))
		c.name("known.zone", string(k.Zone))
		c.address("known.address", k.Address)
	}
	if c.err != nil || r.Digest == nil {
		return c.err
	}
	if r.Digest.VM != r.VM || r.Digest.Boot != r.Boot || r.Digest.Zone != r.Zone {
		c.fail("digest", "of another sender")
		return c.err
	}
	return r.Digest.Validate()
}

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (p *Pull) Validate() error {
	var c checker
	c.sizeAtMost("summary", len(p.Summary), MaxSummary)
	if c.err != nil {
		return c.err
	}
	for _, kv := range p.Summary {
		c.name("summary.key", kv.Key)
		c.atLeast("summary.version", kv.Version, 0)
		c.atLeast("summary.good", kv.Active, 0)
	}
	return c.err
}

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (r *PullReply) Validate() error {
	var c checker
	c.sizeAtMost("objects", len(r.Objects), MaxObjects)
	if c.err != nil {
		return c.err
	}
	for _, object := range r.Objects {
		c.name("objects.key", object.Key)
		c.atLeast("objects.version", object.Version, 1)
		c.sizeAtMost("objects.value", len(object.Value), platformapi.MaxValueBytes)
	}
	return c.err
}

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (v *VMs) Validate() error {
	var c checker
	c.atLeast("above", v.AfterRevision, 0)
	return c.err
}

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (r *VMsReply) Validate() error {
	var c checker
	c.atLeast("list.revision", r.List.Revision, 0)
	c.sizeAtMost("list.vms", len(r.List.VMs), MaxVMs)
	if c.err != nil {
		return c.err
	}
	for _, vm := range r.List.VMs {
		c.name("list.vms.id", vm.ID)
		c.sizeAtMost("list.vms.address", len(vm.Address), MaxNameBytes)
		c.sizeAtMost("list.vms.zone", len(vm.Zone), MaxNameBytes)
		c.sizeAtMost("list.vms.service", len(vm.Service), MaxNameBytes)
		c.sizeAtMost("list.vms.peer_address", len(vm.PeerAddress), MaxNameBytes)
	}
	return c.err
}

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (e *Explain) Validate() error {
	var c checker
	c.name("request", string(e.ID))
	return c.err
}

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (r *ExplainReply) Validate() error {
	var c checker
	c.sizeAtMost("decisions", len(r.Decisions), MaxDecisions)
	if c.err != nil {
		return c.err
	}
	for _, d := range r.Decisions {
		c.name("decisions.step", d.Step)
		c.sizeAtMost("decisions.detail", len(d.Detail), MaxDetailBytes)
		c.sizeAtMost("decisions.chain", len(d.Chain), MaxUpstreams)
	}
	return c.err
}
