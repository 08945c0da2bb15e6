package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mimosaarch.example/decide/routing"
)

// These tests guard against a large configuration that delays every update. In a fleet
// of 295 nodes, 57 nodes fetch from a peer with a link of 20 Mbit/s and a fifth of a CPU
// core. With 1,400 more routes each of them got 354 kB of JSON, encoded separately for each. A
// configuration took 3.8 s to reach the last node. While the store also refused a third
// of the nodes, it took 7.5 s, and the removal of an upstream took 4.4 s, where 4 s is
// allowed. The first nodes of each zone had the configuration after 0.1 s; the others
// waited for a peer for 0.9 s or more and then all fell back to the store. With 38 kB,
// encoded once, these times were 1.6 s, 1.8 s and 1.0 s.

// manyRoutes returns a configuration of n routes with random names, which compress as
// badly as real ones.
func manyRoutes(n int) *routing.Config {
	r := rand.New(rand.NewPCG(7, 7))
	word := func(letters int) string {
		var b strings.Builder
		for range letters {
			b.WriteByte("abcdefghijklmnopqrstuvwxyz0123456789"[r.IntN(36)])
		}
		return b.String()
	}
	c := &routing.Config{Version: 9}
	for range n {
		c.Routes = append(c.Routes, routing.Route{
			Name: "r-" + word(7), Host: word(6) + ".example", PathPrefix: "/" + word(7) + "/", Kind: routing.Streaming, Resumable: true,
			Splits: []routing.Split{{Service: "huvo11a", Weight: 1}}, MaxAttempts: 2, Timeout: 20 * time.Second,
			LatencyObjective: 600 * time.Millisecond, PauseObjective: 300 * time.Millisecond, Priority: 1,
		})
	}
	return c
}

// A configuration must reach every node within 2 s, through up to two other nodes and
// their links.
func TestLargeConfigurationFitsASlowLink(t *testing.T) {
	const (
		routes  = 1400
		callers = 57
		// link is in bytes per second. A transfer may take one second of the two.
		link = 20e6 / 8
	)
	packed, err := Pack(manyRoutes(routes))
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(Update{Packed: packed})
	if err != nil {
		t.Fatal(err)
	}
	if most := link / callers; float64(len(text)) > most {
		t.Errorf("%d bytes for each caller, want at most %.0f", len(text), most)
	}
}

func TestPackedConfigurationIsTheSame(t *testing.T) {
	want := manyRoutes(30)
	packed, err := Pack(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := packed.Unpack()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}

// A configuration that cannot be decoded must be reported as an error and not be used.
func TestCorruptPackedConfigurationIsAnError(t *testing.T) {
	packed, err := Pack(manyRoutes(30))
	if err != nil {
		t.Fatal(err)
	}
	huge, err := Pack(&routing.Config{Routes: []routing.Route{{Name: strings.Repeat("x", maxUnpackedBytes)}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, p := range map[string]Packed{"cut": packed[:len(packed)/2], "noise": Packed("noise"), "too large": huge} {
		if c, err := p.Unpack(); !errors.As(err, new(*UnpackError)) || c != nil {
			t.Errorf("%s: %v, %v", name, c, err)
		}
	}
	address := serve(t, &fakeSource{packed: packed[:len(packed)/2]})
	if update, err := Fetch(t.Context(), address, UpdateRequest{}); !errors.As(err, new(*CallError)) || update.Config != nil {
		t.Errorf("%+v, %v", update, err)
	}
}

// Nodes with different versions of the program must accept each other's configurations.
func TestConfigurationIsAcceptedPackedOrNot(t *testing.T) {
	want := manyRoutes(3)
	packed, err := Pack(want)
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]*fakeSource{"packed": {packed: packed}, "plain": {config: *want}} {
		update, err := Fetch(t.Context(), serve(t, s), UpdateRequest{})
		if err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(want, update.Config, cmpopts.EquateEmpty()); diff != "" {
			t.Error(name, fmt.Sprint(diff))
		}
	}
}
