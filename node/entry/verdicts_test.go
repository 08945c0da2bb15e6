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

// zoneMembers returns n nodes of a zone.
func zoneMembers(name string, n int) []roster.Member {
	var out []roster.Member
	for i := range n {
		out = append(out, roster.Member{Name: ids.VM(fmt.Sprintf("%s-%02d", name, i)), Zone: ids.Zone(name), PeerAddress: fmt.Sprint(name, i)})
	}
	return out
}

// verdictRecorder is a relay.Source that records the verdicts it receives.
type verdictRecorder struct{ received chan quarantine.Verdict }

func (verdictRecorder) UpdateSince(context.Context, relay.UpdateRequest) relay.Update {
	return relay.Update{}
}

func (l verdictRecorder) ApplyVerdict(v quarantine.Verdict) { l.received <- v }

func TestVerdictsReachAllOtherNodes(t *testing.T) {
	settings := Settings{VM: "a-00", Zone: "a"}
	n := &Node{
		log: zerolog.Nop(), metrics: telemetry.New(), fleet: newFleet(settings, time.Now, func(int) {}),
		verdicts: make(chan quarantine.Verdict, maxQueuedVerdicts),
	}
	members := append(zoneMembers("a", 3), zoneMembers("b", 2)...)
	// Nothing listens at the addresses of this node and of one other.
	members[0].PeerAddress, members[1].PeerAddress = "127.0.0.1:1", "127.0.0.1:1"
	received := make(chan quarantine.Verdict, len(members))
	for i := 2; i < len(members); i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		members[i].PeerAddress = l.Addr().String()
		go func() { _ = relay.Serve(t.Context(), l, verdictRecorder{received}) }()
	}
	n.fleet.setMembers(members, 1)
	n.queueVerdict(quarantine.Verdict{Fingerprint: "f", For: time.Minute})
	go n.sendVerdicts(t.Context())
	for range 3 {
		if v := <-received; v.Fingerprint != "f" || v.For != time.Minute {
			t.Errorf("received %+v", v)
		}
	}
}

func TestVerdictsDroppedFromAFullQueueAreCounted(t *testing.T) {
	n := &Node{metrics: telemetry.New(), verdicts: make(chan quarantine.Verdict, 1)}
	n.queueVerdict(quarantine.Verdict{})
	n.queueVerdict(quarantine.Verdict{})
	if n.metrics.Registry().Get("verdicts.dropped") == nil {
		t.Error("a dropped verdict is not counted")
	}
}
