package claim

import (
	"fmt"
	"testing"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// BenchmarkCommit measures one claim in a shard of 3,000 entries: applying and
// encoding it, and decoding the shard's value.
func BenchmarkCommit(b *testing.B) {
	settings := Settings{}.withDefaults()
	v := newValue()
	for i := range 3000 {
		update, _ := v.apply(&settings, epoch, []*pending{{op: benchOp(i)}})
		v = update.value
	}
	data := v.encode(settings.Shards, epoch)
	b.Run("apply+encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			update, _ := v.apply(&settings, epoch, []*pending{{op: benchOp(3000)}})
			_ = update.encode(settings.Shards, epoch)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = decode(data, settings.Shards, epoch, v)
		}
	})
}

func benchOp(i int) Op {
	return Op{Kind: Claim, Nonce: fmt.Sprintf("%032x", i), Record: router.ClaimRecord{
		Account: "school-17", Key: fmt.Sprintf("booking-%08d", i), Fingerprint: fmt.Sprintf("%064x", i),
		Request: ids.Request(fmt.Sprintf("entry-3-%016x", i)), VM: "entry-3", Upstream: "booking-api-2", Attempt: 1,
	}}
}
