package check

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

// configuration is a complete set of documents by kind, each ordered by name.
type configuration struct {
	profiles []fleet.Profile
	services []fleet.Service
	accounts []fleet.Accounts
}

// newConfiguration sorts documents by kind and name.
func newConfiguration(documents map[string]fleet.Document) configuration {
	var c configuration
	for _, key := range slices.Sorted(maps.Keys(documents)) {
		switch doc := documents[key].(type) {
		case fleet.Profile:
			c.profiles = append(c.profiles, doc)
		case fleet.Service:
			c.services = append(c.services, doc)
		case fleet.Accounts:
			c.accounts = append(c.accounts, doc)
		}
	}
	return c
}

// finding returns a Finding about a document.
func finding(s Severity, k Kind, doc fleet.Document, field, format string, args ...any) Finding {
	return Finding{Severity: s, Kind: k, Document: fleet.Key(doc), Field: field, Message: fmt.Sprintf(format, args...)}
}

// checkProfiles finds contradictions within profiles, and profiles that no service uses.
func (c configuration) checkProfiles() []Finding {
	var out []Finding
	for _, p := range c.profiles {
		out = append(out, contradictions(p)...)
		out = append(out, withoutEffect(p)...)
		if !slices.ContainsFunc(c.services, func(s fleet.Service) bool { return s.Profile == p.Name }) {
			out = append(out, finding(Warning, KindUnused, p, "", "no service has this profile"))
		}
	}
	return out
}

// contradictions finds limits of a profile that exclude each other.
func contradictions(p fleet.Profile) []Finding {
	type bound struct {
		field string
		value time.Duration
		// limit is the exclusive upper bound of value, and name its field.
		name  string
		limit time.Duration
		means string
	}
	var out []Finding
	for _, b := range []bound{
		{"connect_timeout", p.ConnectTimeout.D(), "deadline", p.Deadline.D(), "a request without a timeout of its own ends before the dial is given up"},
		{"stall_after", p.StallAfter.D(), "deadline", p.Deadline.D(), "a request without a timeout of its own ends before an attempt without progress does"},
		{"token_interval", p.TokenInterval.D(), "stall_after", p.StallAfter.D(), "attempts are ended between two tokens at the intended pace"},
	} {
		if b.field == "token_interval" && p.Strategy != fleet.StrategyFlow {
			continue
		}
		if b.value >= b.limit {
			out = append(out, finding(Error, KindContradiction, p, b.field, "%v is not below %s, %v: %s", b.value, b.name, b.limit, b.means))
		}
	}
	if p.Queue.PerAccount > p.Queue.Length {
		out = append(out, finding(Error, KindContradiction, p, "queue.per_account", "%d requests of one account are more than queue.length, %d: accounts have no limit of their own", p.Queue.PerAccount, p.Queue.Length))
	}
	return out
}

// maxFloorPercent is the floor at which no upstream is ever ejected.
const maxFloorPercent = 100

// withoutEffect finds fields of a profile that another field makes meaningless.
func withoutEffect(p fleet.Profile) []Finding {
	var out []Finding
	defaults := fleet.DefaultProfile()
	if p.Health.FloorPercent >= maxFloorPercent {
		out = append(out, finding(Warning, KindContradiction, p, "health.floor_percent", "no upstream is ever ejected, so health.failures and health.eject_for have no effect"))
	}
	if p.Retry.Attempts == 1 && (p.Retry.BudgetRatio != defaults.Retry.BudgetRatio || p.Retry.BudgetMin != defaults.Retry.BudgetMin) {
		out = append(out, finding(Warning, KindContradiction, p, "retry.attempts", "requests are never repeated, so retry.budget_ratio and retry.budget_min have no effect"))
	}
	if p.Strategy != fleet.StrategyFlow && p.TokenInterval != defaults.TokenInterval {
		out = append(out, finding(Warning, KindContradiction, p, "token_interval", "strategy %s does not use it", p.Strategy))
	}
	return out
}

// checkServices finds services without a profile, and those that no account may call.
func (c configuration) checkServices() []Finding {
	var out []Finding
	for _, s := range c.services {
		if !slices.ContainsFunc(c.profiles, func(p fleet.Profile) bool { return p.Name == s.Profile }) {
			out = append(out, finding(Warning, KindUndefined, s, "profile", "no profile %s: the defaults apply", s.Profile))
		}
		if len(c.accounts) > 0 && !c.callable(s.Name) {
			out = append(out, finding(Error, KindNeverMatches, s, "", "no account may call it"))
		}
	}
	return out
}

// callable reports whether any account may call a service.
func (c configuration) callable(service ids.Service) bool {
	for _, shard := range c.accounts {
		for _, a := range shard.Accounts {
			if len(a.Services) == 0 || slices.Contains(a.Services, service) {
				return true
			}
		}
	}
	return false
}

// checkAccounts finds accounts whose key or ID another document has, and those that may
// call services that do not exist.
func (c configuration) checkAccounts() []Finding {
	var out []Finding
	// keys and accounts hold the document that an entry was first seen in.
	keys, accounts := make(map[string]string), make(map[ids.Account]string)
	for _, shard := range c.accounts {
		if len(shard.Accounts) == 0 {
			out = append(out, finding(Warning, KindUnused, shard, "accounts", "it has no accounts"))
		}
		for i, a := range shard.Accounts {
			field := func(name string) string { return fmt.Sprintf("accounts[%d].%s", i, name) }
			if first, twice := keys[a.KeySHA256]; twice {
				out = append(out, finding(Error, KindNeverMatches, shard, field("key_sha256"), "account %s: requests with this key count for the account in %s", a.ID, first))
			} else {
				keys[a.KeySHA256] = fleet.Key(shard)
			}
			if first, twice := accounts[a.ID]; twice {
				out = append(out, finding(Warning, KindContradiction, shard, field("id"), "account %s is also in %s: the requests of both count under one name", a.ID, first))
			} else {
				accounts[a.ID] = fleet.Key(shard)
			}
			out = append(out, c.checkAccountServices(shard, a, field("services"))...)
		}
	}
	return out
}

// checkAccountServices finds the services that an account may call and that do not
// exist. It is an error if none of them exists.
func (c configuration) checkAccountServices(shard fleet.Accounts, a fleet.Account, field string) []Finding {
	var missing []ids.Service
	for _, name := range a.Services {
		if !slices.ContainsFunc(c.services, func(s fleet.Service) bool { return s.Name == name }) {
			missing = append(missing, name)
		}
	}
	switch {
	case len(missing) == 0:
		return nil
	case len(missing) == len(a.Services):
		return []Finding{finding(Error, KindNeverMatches, shard, field, "account %s may call only %v, which do not exist", a.ID, missing)}
	}
	return []Finding{finding(Warning, KindUndefined, shard, field, "account %s may call %v, which do not exist", a.ID, missing)}
}
