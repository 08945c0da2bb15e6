package capacity

import (
	"fmt"
	"testing"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/limit"
)

// allAccounts are the accounts that peers may tell.
const allAccounts = 43000

// BenchmarkLimits is what the limits of client accounts cost a node that has
// requests of a number of them and hears of a number of peers, each of which
// tells 64 accounts: a request's check, a peer's digest and the node's own.
func BenchmarkLimits(b *testing.B) {
	sizes := []struct{ accounts, peers int }{{430, 8}, {430, 64}, {430, 389}, {4300, 389}, {43000, 389}}
	for _, size := range sizes {
		activeAccounts, peers := size.accounts, size.peers
		before := heap()
		l := limit.New(limit.Options{})
		l.SetVMCount(start, peers+1)
		for i := range activeAccounts {
			l.Take(start, limited(i), 1)
		}
		for i := range peers {
			l.PeerUsage(start, ids.VM(fmt.Sprint("entry-", i)), told(i))
		}
		held := float64(int64(heap())-int64(before)) / 1024
		now := start
		run := func(kind string, do func(i int)) {
			b.Run(fmt.Sprintf("%s/accounts=%d/peers=%d", kind, activeAccounts, peers), func(b *testing.B) {
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Microsecond)
					do(i)
					i++
				}
				b.ReportMetric(held, "KB-held")
			})
		}
		run("take", func(i int) { l.Take(now, limited(i*7919%activeAccounts), 1) })
		run("hear", func(i int) { l.PeerUsage(now, ids.VM(fmt.Sprint("entry-", i%peers)), told(i)) })
		run("tell", func(int) { l.Usage(now) })
	}
}

// limited names an account with a limit.
func limited(i int) fleet.Account {
	return fleet.Account{ID: ids.Account(fmt.Sprintf("account-%05d", i)), Rate: 10}
}

// told is what a peer tells.
func told(peer int) []limit.AccountUsage {
	var out []limit.AccountUsage
	for k := range limit.DefaultTopK {
		out = append(out, limit.AccountUsage{Account: limited((peer*31 + k) % allAccounts).ID, Demand: float64(1 + k%5)})
	}
	return out
}
