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

// The model's number of layers and the SHA-256 of the account's key in the
// router's benchmarks.
const (
	modelLayers      = 60
	accountKeySHA256 = "00000000000000000000000000000000000000000000000000000000000000aa"
)

// start is the initial time of the benchmarks' simulated clocks.
var start = time.Unix(1000, 0)

// routerBench is a Router with a simulated clock.
type routerBench struct {
	*router.Router
	now  time.Time
	rand *rand.Rand
}

// newRouterBench returns a Router that has a configuration and knows engines,
// their loads and other entry VMs.
func newRouterBench(b *testing.B, engines, peers int) *routerBench {
	b.Helper()
	out := &routerBench{
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
			accountKeySHA256: {ID: "account", KeySHA256: accountKeySHA256, Rate: 1e6, Burst: 2e6, Weight: 1},
		},
	}})
	for i := range engines {
		out.reportLoad(i, engines)
	}
	out.step(router.Tick{})
	return out
}

// step advances the clock by 1 µs and passes an event to the router.
func (b *routerBench) step(ev router.Event) []router.Command {
	b.now = b.now.Add(time.Microsecond)
	return b.Step(b.now, ev)
}

// reportLoad passes the load report of engine i to the router. From one report to
// the next only the number of running requests changes.
func (b *routerBench) reportLoad(i, engines int) {
	r := report("zone-0", i, rand.New(rand.NewPCG(uint64(i), 2)))
	for k := range r.Links {
		r.Links[k].To = engineName("zone-0", (i+k+1)%engines)
	}
	r.Running = b.rand.IntN(4)
	b.step(router.LoadReported{Report: r, At: b.now})
}

// request passes all events of a request to the router, from its arrival to its
// end. It reports whether the router sent the request to a chain at once.
func (b *routerBench) request(i int) bool {
	id := ids.Request(fmt.Sprintf("r-%d", i))
	commands := b.step(router.RequestArrived{
		ID: id, Service: "mimosa-desk", KeySHA256: accountKeySHA256,
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

// BenchmarkStep measures the router's time for all events of a request, for a
// load report, a tick, building a digest and a digest from a peer, by the number
// of engines.
func BenchmarkStep(b *testing.B) {
	for _, engines := range []int{30, 90, 210} {
		run := func(kind string, do func(r *routerBench, i int)) {
			b.Run(fmt.Sprintf("%s/engines=%d", kind, engines), func(b *testing.B) {
				r := newRouterBench(b, engines, 25)
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					do(r, i)
					i++
				}
			})
		}
		sent, total := 0, 0
		run("request", func(r *routerBench, i int) {
			total++
			if r.request(i) {
				sent++
			}
		})
		if sent < total {
			b.Logf("%d of %d requests were sent", sent, total)
		}
		run("load", func(r *routerBench, i int) { r.reportLoad(i%engines, engines) })
		run("tick", func(r *routerBench, _ int) { r.step(router.Tick{}) })
		run("digest", func(r *routerBench, _ int) { r.step(router.DigestDue{}) })
		run("peer", func(r *routerBench, i int) { r.receiveDigest(i % 25) })
	}
}

// receiveDigest passes a digest from peer i to the router.
func (b *routerBench) receiveDigest(i int) {
	d := router.Digest{InFlight: make(map[ids.Upstream]int)}
	for k := range inFlightPerNode {
		d.InFlight[ids.Upstream(engineName("zone-0", k))] = 1 + b.rand.IntN(9)
	}
	for k := range accountsPerDigest {
		d.Usage = append(d.Usage, limit.AccountUsage{Account: ids.Account(fmt.Sprintf("account-%05d", i*7+k)), Demand: b.rand.Float64()})
	}
	b.step(router.DigestReceived{VM: ids.VM(fmt.Sprintf("entry-%03d", i+1)), At: b.now, Digest: d})
}
