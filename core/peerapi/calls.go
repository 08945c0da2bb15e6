package peerapi

import "mimosaarch.example/core/platformapi"

// Validate gives an error as Digest.Validate does.
func (r *DigestReply) Validate() error {
	var c checker
	c.name("vm", string(r.VM))
	c.name("zone", string(r.Zone))
	c.name("boot", r.Boot)
	c.least("config_revision", r.ConfigRevision, 0)
	c.least("vms_revision", r.VMsRevision, 0)
	c.size("known", len(r.KnownPeers), MaxKnownPeers)
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

// Validate gives an error as Digest.Validate does.
func (p *Pull) Validate() error {
	var c checker
	c.size("summary", len(p.Summary), MaxSummary)
	if c.err != nil {
		return c.err
	}
	for _, kv := range p.Summary {
		c.name("summary.key", kv.Key)
		c.least("summary.version", kv.Version, 0)
		c.least("summary.good", kv.Good, 0)
	}
	return c.err
}

// Validate gives an error as Digest.Validate does.
func (r *PullReply) Validate() error {
	var c checker
	c.size("objects", len(r.Objects), MaxObjects)
	if c.err != nil {
		return c.err
	}
	for _, object := range r.Objects {
		c.name("objects.key", object.Key)
		c.least("objects.version", object.Version, 1)
		c.size("objects.value", len(object.Value), platformapi.MaxValueBytes)
	}
	return c.err
}

// Validate gives an error as Digest.Validate does.
func (v *VMs) Validate() error {
	var c checker
	c.least("above", v.AfterRevision, 0)
	return c.err
}

// Validate gives an error as Digest.Validate does.
func (r *VMsReply) Validate() error {
	var c checker
	c.least("list.revision", r.List.Revision, 0)
	c.size("list.vms", len(r.List.VMs), MaxVMs)
	if c.err != nil {
		return c.err
	}
	for _, vm := range r.List.VMs {
		c.name("list.vms.id", vm.ID)
		c.size("list.vms.address", len(vm.Address), MaxNameBytes)
		c.size("list.vms.zone", len(vm.Zone), MaxNameBytes)
		c.size("list.vms.service", len(vm.Service), MaxNameBytes)
		c.size("list.vms.peer_address", len(vm.PeerAddress), MaxNameBytes)
	}
	return c.err
}

// Validate gives an error as Digest.Validate does.
func (e *Explain) Validate() error {
	var c checker
	c.name("request", string(e.ID))
	return c.err
}

// Validate gives an error as Digest.Validate does.
func (r *ExplainReply) Validate() error {
	var c checker
	c.size("decisions", len(r.Decisions), MaxDecisions)
	if c.err != nil {
		return c.err
	}
	for _, d := range r.Decisions {
		c.name("decisions.step", d.Step)
		c.size("decisions.detail", len(d.Detail), MaxDetailBytes)
		c.size("decisions.chain", len(d.Chain), MaxUpstreams)
	}
	return c.err
}
