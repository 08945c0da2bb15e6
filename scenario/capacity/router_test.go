package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/limit"
	"mimosaarch.example/decide/router"
)

// Sizes of the router's benchmarks.
const (
	modelLayers = 60
	accountKey  = "00000000000000000000000000000000000000000000000000000000000000aa"
)

// start is when the benchmarks' clocks begin.
var start = time.Unix(1000, 0)

// bench is a Router with a clock of its own.
type bench struct {
	*router.Router
	now  time.Time
	rand *rand.Rand
}

// newBench makes a Router that knows engines and other entry VMs.
func newBench(b *testing.B, engines, peers int) *bench {
	b.Helper()
	out := &bench{
		Router: router.New(router.Options{VM: "entry-000", Zone: "zone-0", MaxRequests: 4096}),
		now:    start,
		rand:   rand.New(rand.NewPCG(1, 1)),
	}
	list := platformapi.VMList{Revision: 1}
	for i := range peers + 1 {
		list.VMs = append(list.VMs, platformapi.VM{ID: fmt.Sprintf("entry-%03d", i), Zone: "zone-0", Role: platformapi.RoleEntry})
	}
	for i := range engines {
		list.VMs = append(list.VMs, platformapi.VM{
			ID: engineName("zone-0", i), Address: "127.0.0.1:1", Zone: "zone-0",
			Role: platformapi.RoleEngine, Service: "mimosa-desk",
		})
	}
	out.step(router.VMListReceived{List: list})
	out.step(router.ConfigReceived{Config: &router.Config{
		Profiles: map[ids.Profile]fleet.Profile{"p": fleet.Profile{Name: "p"}.WithDefaults()},
		Services: map[ids.Service]fleet.Service{
			"mimosa-desk": {Name: "mimosa-desk", Type: fleet.ServiceModel, Profile: "p", Layers: modelLayers},
		},
		AccountsByKey: map[string]fleet.Account{
			accountKey: {ID: "account", KeySHA256: accountKey, Rate: 1e6, Burst: 2e6, Weight: 1},
		},
	}})
	for i := range engines {
		out.load(i, engines)
	}
	out.step(router.Tick{})
	return out
}

// step passes time and an event.
func (b *bench) step(ev router.Event) []router.Command {
	b.now = b.now.Add(time.Microsecond)
	return b.Step(b.now, ev)
}

// load tells an engine's report; only its count of requests changes.
func (b *bench) load(i, engines int) {
	r := report("zone-0", i, rand.New(rand.NewPCG(uint64(i), 2)))
	for k := range r.Links {
		r.Links[k].To = engineName("zone-0", (i+k+1)%engines)
	}
	r.Running = b.rand.IntN(4)
	b.step(router.LoadReported{Report: r, At: b.now})
}

// request runs a request from its arrival to its end, and reports whether it
// was sent.
func (b *bench) request(i int) bool {
	id := ids.Request(fmt.Sprintf("r-%d", i))
	commands := b.step(router.RequestArrived{
		ID: id, Service: "mimosa-desk", KeySHA256: accountKey,
		Fingerprint: string(id), PromptTokens: 200, MaxTokens: 200,
	})
	for _, command := range commands {
		if send, ok := command.(router.Send); ok {
			head := ids.Upstream(send.Chain[0].ID)
			b.step(router.AttemptStarted{ID: id, Attempt: send.Attempt})
			b.step(router.AttemptEnded{ID: id, Attempt: send.Attempt, Phase: outcome.Finished, Upstream: head, Tokens: 200})
			return true
		}
	}
	b.step(router.CallerGone{ID: id})
	return false
}

// BenchmarkStep is the decision loop's work for one event of each kind.
func BenchmarkStep(b *testing.B) {
	for _, engines := range []int{30, 90, 210} {
		run := func(kind string, do func(r *bench, i int)) {
			b.Run(fmt.Sprintf("%s/engines=%d", kind, engines), func(b *testing.B) {
				r := newBench(b, engines, 25)
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					do(r, i)
					i++
				}
			})
		}
		sent, asked := 0, 0
		run("request", func(r *bench, i int) {
			asked++
			if r.request(i) {
				sent++
			}
		})
		if sent < asked {
			b.Logf("%d of %d requests were sent", sent, asked)
		}
		run("load", func(r *bench, i int) { r.load(i%engines, engines) })
		run("tick", func(r *bench, _ int) { r.step(router.Tick{}) })
		run("digest", func(r *bench, _ int) { r.step(router.DigestDue{}) })
		run("peer", func(r *bench, i int) { r.peer(i % 25) })
	}
}

// peer tells a peer's digest.
func (b *bench) peer(i int) {
	d := router.Digest{InFlight: make(map[ids.Upstream]int)}
	for k := range inFlightCounts {
		d.InFlight[ids.Upstream(engineName("zone-0", k))] = 1 + b.rand.IntN(9)
	}
	for k := range accountsTold {
		d.Usage = append(d.Usage, limit.AccountUsage{Account: ids.Account(fmt.Sprintf("account-%05d", i*7+k)), Demand: b.rand.Float64()})
	}
	b.step(router.DigestReceived{VM: ids.VM(fmt.Sprintf("entry-%03d", i+1)), At: b.now, Digest: d})
}
