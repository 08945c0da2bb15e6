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

// Figures of BenchmarkTenChains.
const (
	benchChains   = 10
	benchRate     = 300
	benchStreams  = 14
	benchTokens   = 60
	benchRequests = 2
)

// cpuSeconds gives the processor time of this process.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// BenchmarkTenChains runs 10 chains of 3 engines under more streams than fill
// them, readers included. Steps are tokens and prompt steps; their bound is
// 3000 a second.
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
			chain := chainOf(f, cfg, fmt.Sprint("head", c), fmt.Sprint("mid", c), fmt.Sprint("tail", c))
			for s := range benchStreams {
				all.Go(func() { askMany(b, client, fmt.Sprintf("%d-%d-%d", c, s, began.UnixNano()), chain) })
			}
		}
		all.Wait()
		took := time.Since(began).Seconds()
		steps := float64(benchChains * benchStreams * benchRequests * (benchTokens + 1))
		b.ReportMetric(steps/took, "steps/s")
		b.ReportMetric((cpuSeconds()-cpu)/took, "cores")
	}
}

// askMany runs requests one after the other.
func askMany(b *testing.B, client *fasthttp.Client, name string, chain []engineapi.Stage) {
	for r := range benchRequests {
		if done := ask(client, fmt.Sprint(name, "-", r), benchTokens, chain); done == nil {
			b.Error("a request was not finished")
		}
	}
}
