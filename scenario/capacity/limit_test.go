package capacity

import (
	"fmt"
	"testing"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/limit"
)

// totalAccounts is the number of accounts of the fleet. Each peer reports the
// usage of some of them.
const totalAccounts = 43000

// BenchmarkLimits measures what the rate limits of client accounts cost a node
// by the number of accounts that send requests through it and the number of
// peers, each of which reports the usage of 64 accounts. It measures the check
// of a request (take), the usage reported by a peer (hear) and the usage that
// the node reports itself (tell).
func BenchmarkLimits(b *testing.B) {
	sizes := []struct{ accounts, peers int }{{430, 8}, {430, 64}, {430, 389}, {4300, 389}, {43000, 389}}
	for _, size := range sizes {
		activeAccounts, peers := size.accounts, size.peers
		before := heapBytes()
		l := limit.New(limit.Options{})
		l.SetVMCount(start, peers+1)
		for i := range activeAccounts {
			l.Take(start, limitedAccount(i), 1)
		}
		for i := range peers {
			l.PeerUsage(start, ids.VM(fmt.Sprint("entry-", i)), peerUsage(i))
		}
		heldKB := float64(int64(heapBytes())-int64(before)) / 1024
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
				b.ReportMetric(heldKB, "KB-held")
			})
		}
		run("take", func(i int) { l.Take(now, limitedAccount(i*7919%activeAccounts), 1) })
		run("hear", func(i int) { l.PeerUsage(now, ids.VM(fmt.Sprint("entry-", i%peers)), peerUsage(i)) })
		run("tell", func(int) { l.Usage(now) })
	}
}

// limitedAccount returns account i, which has a rate limit.
func limitedAccount(i int) fleet.Account {
	return fleet.Account{ID: ids.Account(fmt.Sprintf("account-%05d", i)), Rate: 10}
}

// peerUsage returns the usage that a peer reports.
func peerUsage(peer int) []limit.AccountUsage {
	var out []limit.AccountUsage
	for k := range limit.DefaultTopK {
		out = append(out, limit.AccountUsage{Account: limitedAccount((peer*31 + k) % totalAccounts).ID, Demand: float64(1 + k%5)})
	}
	return out
}
