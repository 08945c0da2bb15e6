package entry

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/node/telemetry"
)

// zone makes the nodes of a zone.
func zone(name string, n int) []roster.Member {
	var out []roster.Member
	for i := range n {
		out = append(out, roster.Member{Name: ids.VM(fmt.Sprintf("%s-%02d", name, i)), Zone: ids.Zone(name), PeerAddress: fmt.Sprint(name, i)})
	}
	return out
}

// listener is a node that notes verdicts.
type listener struct{ heard chan quarantine.Verdict }

func (listener) UpdateSince(context.Context, relay.UpdateRequest) relay.Update { return relay.Update{} }

func (l listener) ApplyVerdict(v quarantine.Verdict) { l.heard <- v }

func TestVerdictsReachAllOtherNodes(t *testing.T) {
	settings := Settings{VM: "a-00", Zone: "a"}
	n := &Node{
		log: zerolog.Nop(), metrics: telemetry.New(), fleet: newFleet(settings, time.Now, func(int) {}),
		verdicts: make(chan quarantine.Verdict, maxVerdicts),
	}
	members := append(zone("a", 3), zone("b", 2)...)
	// The own node has nobody at its address, and one other is gone.
	members[0].PeerAddress, members[1].PeerAddress = "127.0.0.1:1", "127.0.0.1:1"
	heard := make(chan quarantine.Verdict, len(members))
	for i := 2; i < len(members); i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		members[i].PeerAddress = l.Addr().String()
		go func() { _ = relay.Serve(t.Context(), l, listener{heard}) }()
	}
	n.fleet.set(members, 1)
	n.judged(quarantine.Verdict{Fingerprint: "f", For: time.Minute})
	go n.tellVerdicts(t.Context())
	for range 3 {
		if v := <-heard; v.Fingerprint != "f" || v.For != time.Minute {
			t.Errorf("heard %+v", v)
		}
	}
}

func TestVerdictsWithoutRoomAreCounted(t *testing.T) {
	n := &Node{metrics: telemetry.New(), verdicts: make(chan quarantine.Verdict, 1)}
	n.judged(quarantine.Verdict{})
	n.judged(quarantine.Verdict{})
	if n.metrics.Registry().Get("verdicts.dropped") == nil {
		t.Error("a dropped verdict is not counted")
	}
}
