package configorder

import (
	"maps"
	"slices"
	"strings"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// emptyConfig returns a configuration without profiles, services or accounts.
func emptyConfig() *router.Config {
	return &router.Config{
		Profiles:      make(map[ids.Profile]fleet.Profile),
		Services:      make(map[ids.Service]fleet.Service),
		AccountsByKey: make(map[string]fleet.Account),
	}
}

// Config returns the active configuration. Calls return the same value until an
// active object changes. The next value then shares the maps that did not change.
func (s *Store) Config() *router.Config {
	if len(s.dirty) == 0 {
		return s.config
	}
	next := *s.config
	s.cloneChanged(&next)
	for key := range s.dirty {
		e := s.entries[key]
		s.applyEntry(&next, key, e)
		e.configured = e.doc
	}
	clear(s.dirty)
	s.config = &next
	return s.config
}

// cloneChanged replaces each map that has changed entries by a copy.
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

// anyDirty reports whether a key with the prefix changed since the last Config.
func (s *Store) anyDirty(prefix string) bool {
	for key := range s.dirty {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// applyEntry replaces the document of one key in a copied configuration.
func (s *Store) applyEntry(next *router.Config, key string, e *entry) {
	switch old := e.configured.(type) {
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
		s.replaceShard(next.AccountsByKey, key, accountsOf(e.configured), accountsOf(e.doc))
	}
}

// accountsOf returns the accounts of an account shard; nil for other documents.
func accountsOf(doc fleet.Document) []fleet.Account {
	shard, _ := doc.(fleet.Accounts)
	return shard.Accounts
}

// accountOwners maps the hash of a bearer key to the sorted keys of the shards
// that list it. The account of the first shard is used, so that the result doesn't
// depend on the order in which the shards arrived.
type accountOwners map[string][]string

// replaceShard replaces the accounts of one shard in byKey.
func (s *Store) replaceShard(byKey map[string]fleet.Account, shard string, old, accounts []fleet.Account) {
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

// dropAccount removes a shard from the owners of an account. The account of the
// next owner takes its place in byKey, if there is one.
func (s *Store) dropAccount(byKey map[string]fleet.Account, shard, hash string) {
	owner := s.accounts.remove(hash, shard)
	if owner == "" {
		delete(byKey, hash)
		return
	}
	for _, account := range accountsOf(s.entries[owner].configured) {
		if account.KeySHA256 == hash {
			byKey[hash] = account
		}
	}
}

// add records that a shard lists an account, and returns the shard whose account
// is used.
func (o accountOwners) add(hash, shard string) string {
	owners := o[hash]
	at, found := slices.BinarySearch(owners, shard)
	if !found {
		owners = slices.Insert(owners, at, shard)
		o[hash] = owners
	}
	return owners[0]
}

// remove records that a shard no longer lists an account. It returns the shard
// whose account is used from now on; empty if no shard lists it.
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
