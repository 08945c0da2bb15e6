package peer

import (
	"fmt"
	"testing"
	"time"

	"mimosaarch.example/core/platformapi"
)

// BenchmarkPreferred measures the choice of the preferred VM for a shard in
// fleets of two sizes.
func BenchmarkPreferred(b *testing.B) {
	for _, count := range []int{9, 390} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			s, err := New(Options{VM: "vm-0", Zone: "z", Listen: "127.0.0.1:0"})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			list := platformapi.VMList{Revision: 1}
			for i := range count {
				list.VMs = append(list.VMs, platformapi.VM{
					ID: fmt.Sprint("vm-", i), Zone: "z", Role: platformapi.RoleEntry, PeerAddress: fmt.Sprint("127.0.0.1:", 1000+i),
				})
			}
			s.members.ApplyVMList(time.Now(), list)
			c := NewClaimForwarder(b.Context(), s)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Preferred(i % 64)
			}
		})
	}
}
