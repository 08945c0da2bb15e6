package relay

import (
	"net"
	"testing"
)

// BenchmarkVerification measures the call by which a node finds out that a peer still exists: an
// update without news, over a connection of its own.
func BenchmarkVerification(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() { _ = Serve(b.Context(), l, emptySource{}, nil) }()
	req := UpdateRequest{ConfigVersion: 120, ConfigEpoch: 3, Epoch: 3, Want: WantConfig, AcceptsPacked: true}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Fetch(b.Context(), l.Addr().String(), req); err != nil {
			b.Fatal(err)
		}
	}
	answer := Update{Epoch: 3, AgeMs: 120}
	b.ReportMetric(float64(len(encodeCall(b, methodUpdate, req))+len(encodeCall(b, methodUpdate, answer))), "bytes")
}
