package fleet

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/standin/engine"
)

// Parameters of BenchmarkTenChains: the number of chains, the rate of each engine in
// token steps per second, the concurrent streams per chain, the tokens per request
// and the requests per stream.
const (
	benchChains   = 10
	benchRate     = 300
	benchStreams  = 14
	benchTokens   = 60
	benchRequests = 2
)

// cpuSeconds returns the CPU time used by this process so far, in seconds.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// BenchmarkTenChains runs 10 chains of 3 engines in one process, together with the
// clients that read their streams, and offers more streams than the chains can serve
// at full rate. It reports the token and prompt steps per second, which the rates of
// the chains limit to 3000, and the CPU cores used.
func BenchmarkTenChains(b *testing.B) {
	cfg := Config{Layers: 3}
	for c := range benchChains {
		for s, name := range []string{"head", "mid", "tail"} {
			spec := engine.Config{ID: fmt.Sprint(name, c), First: s, Last: s, Rate: benchRate}
			cfg.Engines = append(cfg.Engines, EngineSpec{Engine: spec})
		}
	}
	f := start(b, cfg)
	client := &fasthttp.Client{StreamResponseBody: true, MaxConnsPerHost: benchStreams}
	for b.Loop() {
		began, cpu := time.Now(), cpuSeconds()
		var all sync.WaitGroup
		for c := range benchChains {
			chain := newChain(f, cfg, fmt.Sprint("head", c), fmt.Sprint("mid", c), fmt.Sprint("tail", c))
			for s := range benchStreams {
				all.Go(func() { runRequests(b, client, fmt.Sprintf("%d-%d-%d", c, s, began.UnixNano()), chain) })
			}
		}
		all.Wait()
		took := time.Since(began).Seconds()
		steps := float64(benchChains * benchStreams * benchRequests * (benchTokens + 1))
		b.ReportMetric(steps/took, "steps/s")
		b.ReportMetric((cpuSeconds()-cpu)/took, "cores")
	}
}

// runRequests runs benchRequests requests one after the other.
func runRequests(b *testing.B, client *fasthttp.Client, name string, chain []engineapi.Stage) {
	for r := range benchRequests {
		if done := runRequest(client, fmt.Sprint(name, "-", r), benchTokens, chain); done == nil {
			b.Error("a request was not finished")
		}
	}
}
