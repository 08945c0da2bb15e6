package peerapi

import (
	"errors"
	"math"
	"strings"
	"testing"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
)

// validDigest returns a valid digest in which each list has an entry.
func validDigest() Digest {
	return Digest{
		VM: "a", Zone: "z", Boot: "b", Seq: 1, Address: "127.0.0.1:1",
		InFlight:   map[ids.Upstream]int{"e": 1},
		Usage:      []AccountUsage{{Account: "x", Demand: 1}},
		Quarantine: []QuarantineEvent{{Kind: "death", Upstream: "e"}},
		Health:     []Observation{{Upstream: "e", State: "ejected"}},
		Leaving:    []ids.Upstream{"e"},
		Loads:      []Load{{Report: engineapi.LoadReport{Engine: "e", Links: []engineapi.Link{{To: "f"}}}}},
	}
}

func TestDigest(t *testing.T) {
	ok := validDigest()
	if err := ok.Validate(); err != nil {
		t.Fatal(err)
	}
	invalid := map[string]func(*Digest){
		"no VM":             func(d *Digest) { d.VM = "" },
		"no zone":           func(d *Digest) { d.Zone = "" },
		"no boot":           func(d *Digest) { d.Boot = "" },
		"no sequence":       func(d *Digest) { d.Seq = 0 },
		"host name":         func(d *Digest) { d.Address = "host:1" },
		"negative revision": func(d *Digest) { d.VMsRevision = -1 },
		"zero in flight":    func(d *Digest) { d.InFlight["e"] = 0 },
		"negative demand":   func(d *Digest) { d.Usage[0].Demand = -1 },
		"endless demand":    func(d *Digest) { d.Usage[0].Demand = math.Inf(1) },
		"unnamed evidence":  func(d *Digest) { d.Quarantine[0].Upstream = "" },
		"future evidence":   func(d *Digest) { d.Quarantine[0].AgeNs = -1 },
		"no state":          func(d *Digest) { d.Health[0].State = "" },
		"unnamed leaving":   func(d *Digest) { d.Leaving[0] = "" },
		"future load":       func(d *Digest) { d.Loads[0].AgeNs = -1 },
		"unnamed load":      func(d *Digest) { d.Loads[0].Report.Engine = "" },
		"negative running":  func(d *Digest) { d.Loads[0].Report.Running = -1 },
		"no number":         func(d *Digest) { d.Loads[0].Report.TokensPerSecond = math.NaN() },
		"unnamed link":      func(d *Digest) { d.Loads[0].Report.Links[0].To = "" },
	}
	for name, corrupt := range invalid {
		d := validDigest()
		corrupt(&d)
		var refused *InvalidError
		if err := d.Validate(); !errors.As(err, &refused) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	oversize := map[string]func(*Digest){
		"name":       func(d *Digest) { d.VM = ids.VM(strings.Repeat("a", MaxNameBytes+1)) },
		"usage":      func(d *Digest) { d.Usage = make([]AccountUsage, MaxUsageEntries+1) },
		"quarantine": func(d *Digest) { d.Quarantine = make([]QuarantineEvent, MaxQuarantine+1) },
		"health":     func(d *Digest) { d.Health = make([]Observation, MaxUpstreams+1) },
		"leaving":    func(d *Digest) { d.Leaving = make([]ids.Upstream, MaxUpstreams+1) },
		"loads":      func(d *Digest) { d.Loads = make([]Load, MaxUpstreams+1) },
		"links":      func(d *Digest) { d.Loads[0].Report.Links = make([]engineapi.Link, MaxLinks+1) },
	}
	for name, corrupt := range oversize {
		d := validDigest()
		corrupt(&d)
		var refused *OversizeError
		if err := d.Validate(); !errors.As(err, &refused) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestCalls(t *testing.T) {
	other := validDigest()
	other.VM = "c"
	own := validDigest()
	cases := map[string]struct {
		message interface{ Validate() error }
		ok      bool
	}{
		"reply":              {&DigestReply{VM: "a", Zone: "z", Boot: "b", Digest: &own}, true},
		"another's digest":   {&DigestReply{VM: "a", Zone: "z", Boot: "b", Digest: &other}, false},
		"known":              {&DigestReply{VM: "a", Zone: "z", Boot: "b", KnownPeers: []KnownPeer{{"c", "z", "127.0.0.1:1"}}}, true},
		"known without zone": {&DigestReply{VM: "a", Zone: "z", Boot: "b", KnownPeers: []KnownPeer{{"c", "", "127.0.0.1:1"}}}, false},
		"known by name":      {&DigestReply{VM: "a", Zone: "z", Boot: "b", KnownPeers: []KnownPeer{{"c", "z", "host:1"}}}, false},
		"many known":         {&DigestReply{VM: "a", Zone: "z", Boot: "b", KnownPeers: make([]KnownPeer, MaxKnownPeers+1)}, false},
		"unnamed reply":      {&DigestReply{Zone: "z", Boot: "b"}, false},
		"pull":               {&Pull{Summary: []KeyVersion{{Key: "k", Version: 1}}}, true},
		"negative version":   {&Pull{Summary: []KeyVersion{{Key: "k", Version: -1}}}, false},
		"long summary":       {&Pull{Summary: make([]KeyVersion, MaxSummary+1)}, false},
		"objects":            {&PullReply{Objects: []platformapi.Object{{Key: "k", Version: 1}}}, true},
		"unversioned object": {&PullReply{Objects: []platformapi.Object{{Key: "k"}}}, false},
		"large object": {&PullReply{Objects: []platformapi.Object{
			{Key: "k", Version: 1, Value: make([]byte, platformapi.MaxValueBytes+1)},
		}}, false},
		"list":           {&VMsReply{List: platformapi.VMList{VMs: []platformapi.VM{{ID: "a"}}}}, true},
		"unnamed VM":     {&VMsReply{List: platformapi.VMList{VMs: []platformapi.VM{{}}}}, false},
		"negative above": {&VMs{AfterRevision: -1}, false},
		"no request":     {&Explain{}, false},
		"steps":          {&ExplainReply{Decisions: []Decision{{Step: "sent"}}}, true},
		"unnamed step":   {&ExplainReply{Decisions: []Decision{{}}}, false},
		"many steps":     {&ExplainReply{Decisions: make([]Decision, MaxDecisions+1)}, false},
	}
	for name, c := range cases {
		if err := c.message.Validate(); (err == nil) != c.ok {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
