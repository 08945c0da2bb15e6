package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/core/ids"
)

// evictedSlots is the number of slots in evictedTable.
const evictedSlots = 4096

// evictedTable records, in a table of fixed size, when evicted buckets would be
// full again. An account that is over its limit therefore gets no fresh burst
// when its bucket is evicted. Accounts that hash to the same slot share the later
// time: a new bucket may start with fewer tokens than it is due, never with more.
//
// Two alternatives are worse. If buckets that are not full could not be evicted,
// a flood of accounts would block new accounts. If every new bucket started
// empty, every first burst would be refused.
type evictedTable struct{ fullAt [evictedSlots]time.Time }

// slot returns the slot of an account.
func (d *evictedTable) slot(account ids.Account) *time.Time {
	return &d.fullAt[xxhash.Sum64String(string(account))%evictedSlots]
}

// record stores the time at which an account's evicted bucket would be full.
func (d *evictedTable) record(now time.Time, account ids.Account, full time.Time) {
	slot := d.slot(account)
	if full.After(now) && full.After(*slot) {
		*slot = full
	}
}

// untilFull returns the time until an account's bucket would be full; zero if it
// already is.
func (d *evictedTable) untilFull(now time.Time, account ids.Account) time.Duration {
	return max(d.slot(account).Sub(now), 0)
}
