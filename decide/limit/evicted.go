package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/core/ids"
)

// debtSlots is the count of slots that remember evicted buckets.
const debtSlots = 4096

// debts remembers, in a table of fixed size, when evicted buckets would be
// full again, so that an account that is over its limit gets no fresh burst
// by being evicted. Accounts that meet in a slot share the later time: an
// account may then start with less than it is due, never with more. Weighed
// and left: refusing to evict buckets that are not full, which lets a flood
// of accounts block new ones, and starting each new bucket empty, which
// refuses every first burst.
type debts struct{ full [debtSlots]time.Time }

// slot gives an account's place.
func (d *debts) slot(account ids.Account) *time.Time {
	return &d.full[xxhash.Sum64String(string(account))%debtSlots]
}

// note remembers that an account's bucket is full again at a time.
func (d *debts) note(now time.Time, account ids.Account, full time.Time) {
	slot := d.slot(account)
	if full.After(now) && full.After(*slot) {
		*slot = full
	}
}

// left gives the time until an account's bucket is full; zero if it is.
func (d *debts) left(now time.Time, account ids.Account) time.Duration {
	return max(d.slot(account).Sub(now), 0)
}
