package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/configorder"
)

// accountsPerShard is the number of accounts in one configuration object.
const accountsPerShard = 1000

// accountShard returns a configuration object with one shard of the accounts.
// The accounts' rates depend on the version.
func accountShard(b *testing.B, shard int, version int64) platformapi.Object {
	b.Helper()
	doc := fleet.Accounts{Kind: fleet.KindAccounts, Name: fmt.Sprintf("shard-%02d", shard)}
	for i := range accountsPerShard {
		id := fmt.Sprintf("account-%05d", shard*accountsPerShard+i)
		key := sha256.Sum256([]byte(id))
		doc.Accounts = append(doc.Accounts, fleet.Account{
			ID:        ids.Account(id),
			KeySHA256: hex.EncodeToString(key[:]),
			Rate:      float64(1 + (i+int(version))%9),
		})
	}
	value, err := fleet.Encode(doc)
	if err != nil {
		b.Fatal(err)
	}
	return platformapi.Object{Key: fleet.Key(doc), Version: version, Value: value}
}

// BenchmarkConfig measures what the client accounts cost a node: the time and
// memory to read all of them (all), and the time to apply a change to one shard
// (change).
func BenchmarkConfig(b *testing.B) {
	for _, shards := range []int{1, 10, 43} {
		var objects []platformapi.Object
		bytes := 0
		for i := range shards {
			objects = append(objects, accountShard(b, i, int64(i+1)))
			bytes += len(objects[i].Value)
		}
		b.Run(fmt.Sprintf("all/accounts=%d", shards*accountsPerShard), func(b *testing.B) {
			before := heapBytes()
			var store *configorder.Store
			for b.Loop() {
				store = configorder.New(configorder.Settings{})
				applyAll(b, store, objects)
			}
			b.ReportMetric(float64(int64(heapBytes())-int64(before))/1024, "KB-held")
			b.ReportMetric(float64(bytes)/1024, "KB-read")
			applyAll(b, store, nil)
		})
		b.Run(fmt.Sprintf("change/accounts=%d", shards*accountsPerShard), func(b *testing.B) {
			store := configorder.New(configorder.Settings{})
			applyAll(b, store, objects)
			changed := accountShard(b, 0, int64(shards+1))
			b.ReportAllocs()
			for b.Loop() {
				changed.Version++
				applyAll(b, store, []platformapi.Object{changed})
			}
		})
	}
}

// applyAll applies objects to the store and builds the configuration from all
// objects in it.
func applyAll(b *testing.B, store *configorder.Store, objects []platformapi.Object) {
	b.Helper()
	for _, object := range objects {
		if _, err := store.Apply(object); err != nil {
			b.Fatal(err)
		}
	}
	_ = store.Config()
}
