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

// On a fleet of 295 nodes the word that an upstream leaves had once come after more than the
// 4 s allowed, and a configuration too. On a day on which both come in the same seconds, with
// 1,400 more routes, the configuration was in force on the last node 3.8 s after the first,
// and while the store turned a third of the nodes away the word of leaving took 4.4 s and a
// configuration 7.5 s. By the configuration lines the first nodes of each zone had it after
// 0.1 s; the others waited at two of these for 0.9 s and more and then all asked the store,
// among the last one of those two. The cause: each of 57 askers of a node with a link of
// 20 Mbit/s and a fifth of a core was sent 354 kB of JSON, made anew for each. With 38 kB,
// made once, the same day took 1.6 s, and 1.0 s and 1.8 s beside the store's trouble.

// manyRoutes makes a configuration with names that are drawn, as the operator's.
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

// A configuration must be in force within 2 s, over two nodes and their links.
func TestLargeConfigurationFitsAThinLink(t *testing.T) {
	const (
		routes = 1400
		askers = 57
		// link is in bytes a second; one of the two nodes may take one.
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
	if most := link / askers; float64(len(text)) > most {
		t.Errorf("%d bytes for each asker, want at most %.0f", len(text), most)
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

// What cannot be read is told as such, and nothing is put in force.
func TestSpoiltPackedConfigurationIsAnError(t *testing.T) {
	packed, err := Pack(manyRoutes(30))
	if err != nil {
		t.Fatal(err)
	}
	huge, err := Pack(&routing.Config{Routes: []routing.Route{{Name: strings.Repeat("x", maxUnpacked)}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, p := range map[string]Packed{"cut": packed[:len(packed)/2], "noise": Packed("noise"), "too large": huge} {
		if c, err := p.Unpack(); !errors.As(err, new(*UnpackError)) || c != nil {
			t.Errorf("%s: %v, %v", name, c, err)
		}
	}
	address := serve(t, &shelf{packed: packed[:len(packed)/2]})
	if news, err := Fetch(t.Context(), address, UpdateRequest{}); !errors.As(err, new(*CallError)) || news.Config != nil {
		t.Errorf("%+v, %v", news, err)
	}
}

// Nodes of two editions of the program tell each other configurations.
func TestConfigurationIsTakenPackedOrNot(t *testing.T) {
	want := manyRoutes(3)
	packed, err := Pack(want)
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]*shelf{"packed": {packed: packed}, "plain": {config: *want}} {
		news, err := Fetch(t.Context(), serve(t, s), UpdateRequest{})
		if err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(want, news.Config, cmpopts.EquateEmpty()); diff != "" {
			t.Error(name, fmt.Sprint(diff))
		}
	}
}
