package peerapi

import (
	"strings"
	"testing"
)

func TestClaim(t *testing.T) {
	record := ClaimRecord{Account: "a", Key: "k", Request: "r"}
	valid := func() *Claim {
		over := record
		return &Claim{Kind: ClaimTake, Nonce: "n", Record: record, Over: &over, ClockNs: 1, ClockAgeNs: 1, RemainingNs: 1}
	}
	if err := valid().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*Claim){
		"kind":           func(m *Claim) { m.Kind = "steal" },
		"shard":          func(m *Claim) { m.Shard = -1 },
		"nonce":          func(m *Claim) { m.Nonce = "" },
		"account":        func(m *Claim) { m.Record.Account = "" },
		"key":            func(m *Claim) { m.Record.Key = "" },
		"request":        func(m *Claim) { m.Record.Request = "" },
		"long epoch":     func(m *Claim) { m.Record.Epoch = strings.Repeat("e", MaxNameBytes+1) },
		"attempt":        func(m *Claim) { m.Record.Attempt = -1 },
		"over":           func(m *Claim) { m.Over.Key = "" },
		"retention":      func(m *Claim) { m.RetentionNs = -1 },
		"clock":          func(m *Claim) { m.ClockNs = -1 },
		"future clock":   func(m *Claim) { m.ClockAgeNs = -1 },
		"old clock":      func(m *Claim) { m.ClockAgeNs = int64(MaxClockAge) + 1 },
		"no time":        func(m *Claim) { m.RemainingNs = -1 },
		"too much time":  func(m *Claim) { m.RemainingNs = int64(MaxClaimRemaining) + 1 },
		"long name":      func(m *Claim) { m.Nonce = strings.Repeat("n", MaxNameBytes+1) },
		"long state":     func(m *Claim) { m.Record.State = strings.Repeat("s", MaxNameBytes+1) },
		"long key":       func(m *Claim) { m.Record.Key = strings.Repeat("k", MaxNameBytes+1) },
		"unnamed record": func(m *Claim) { m.Record = ClaimRecord{} },
	} {
		m := valid()
		corrupt(m)
		if m.Validate() == nil {
			t.Errorf("a claim with an invalid field was accepted: %s", name)
		}
	}
	for name, c := range map[string]struct {
		reply ClaimReply
		ok    bool
	}{
		"done":     {ClaimReply{State: ClaimDone, ClockNs: 1, Prior: &record}, true},
		"no clock": {ClaimReply{State: ClaimDone}, false},
		"state":    {ClaimReply{State: "maybe", ClockNs: 1}, false},
		"prior":    {ClaimReply{State: ClaimDone, ClockNs: 1, Prior: &ClaimRecord{}}, false},
	} {
		if err := c.reply.Validate(); (err == nil) != c.ok {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
