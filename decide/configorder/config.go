package configorder

import (
	"maps"
	"slices"
	"strings"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// emptyConfig is the configuration of a Store without objects.
func emptyConfig() *router.Config {
	return &router.Config{
		Profiles:      make(map[ids.Profile]fleet.Profile),
		Services:      make(map[ids.Service]fleet.Service),
		AccountsByKey: make(map[string]fleet.Account),
	}
}

// Config gives the configuration in force. It is the same value until
// something changes; then a copy is made in which the maps that did not
// change are shared.
func (s *Store) Config() *router.Config {
	if len(s.dirty) == 0 {
		return s.config
	}
	next := *s.config
	s.cloneChanged(&next)
	for key := range s.dirty {
		e := s.entries[key]
		s.build(&next, key, e)
		e.built = e.doc
	}
	clear(s.dirty)
	s.config = &next
	return s.config
}

// cloneChanged copies the maps that hold a changed key.
func (s *Store) cloneChanged(next *router.Config) {
	if s.anyDirty(fleet.ProfilePrefix) {
		next.Profiles = maps.Clone(next.Profiles)
	}
	if s.anyDirty(fleet.ServicePrefix) {
		next.Services = maps.Clone(next.Services)
	}
	if s.anyDirty(fleet.AccountPrefix) {
		next.AccountsByKey = maps.Clone(next.AccountsByKey)
	}
}

// anyDirty reports whether a key of a kind changed.
func (s *Store) anyDirty(prefix string) bool {
	for key := range s.dirty {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// build replaces one key's document in a copied configuration.
func (s *Store) build(next *router.Config, key string, e *entry) {
	switch old := e.built.(type) {
	case fleet.Profile:
		delete(next.Profiles, old.Name)
	case fleet.Service:
		delete(next.Services, old.Name)
	}
	switch doc := e.doc.(type) {
	case fleet.Profile:
		next.Profiles[doc.Name] = doc
	case fleet.Service:
		next.Services[doc.Name] = doc
	}
	if strings.HasPrefix(key, fleet.AccountPrefix) {
		s.buildAccounts(next.AccountsByKey, key, accountsOf(e.built), accountsOf(e.doc))
	}
}

// accountsOf gives a document's accounts; nil for other documents.
func accountsOf(doc fleet.Document) []fleet.Account {
	shard, _ := doc.(fleet.Accounts)
	return shard.Accounts
}

// accountOwners holds, for each bearer key's hash, the keys of the shards that
// list it, in order. The first one counts, whatever order they came in.
type accountOwners map[string][]string

// buildAccounts replaces one shard's accounts.
func (s *Store) buildAccounts(byKey map[string]fleet.Account, shard string, old, accounts []fleet.Account) {
	kept := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		kept[account.KeySHA256] = true
	}
	for _, account := range old {
		if !kept[account.KeySHA256] {
			s.dropAccount(byKey, shard, account.KeySHA256)
		}
	}
	for _, account := range accounts {
		if s.accounts.add(account.KeySHA256, shard) == shard {
			byKey[account.KeySHA256] = account
		}
	}
}

// dropAccount removes a shard's claim to an account.
func (s *Store) dropAccount(byKey map[string]fleet.Account, shard, hash string) {
	heir := s.accounts.remove(hash, shard)
	if heir == "" {
		delete(byKey, hash)
		return
	}
	for _, account := range accountsOf(s.entries[heir].built) {
		if account.KeySHA256 == hash {
			byKey[hash] = account
		}
	}
}

// add notes that a shard lists an account, and gives the shard that counts.
func (o accountOwners) add(hash, shard string) string {
	owners := o[hash]
	at, found := slices.BinarySearch(owners, shard)
	if !found {
		owners = slices.Insert(owners, at, shard)
		o[hash] = owners
	}
	return owners[0]
}

// remove notes that a shard no longer lists an account, and gives the shard
// that counts now; empty if none does.
func (o accountOwners) remove(hash, shard string) string {
	owners := o[hash]
	if at, found := slices.BinarySearch(owners, shard); found {
		owners = slices.Delete(owners, at, at+1)
	}
	if len(owners) == 0 {
		delete(o, hash)
		return ""
	}
	o[hash] = owners
	return owners[0]
}
