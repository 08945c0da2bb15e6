package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/upstream"
)

// pollDuration is the duration of one operation of BenchmarkPolls.
const pollDuration = 2 * time.Second

// BenchmarkPolls measures the CPU time of polling engines for load reports at a
// fixed rate, including the engines' side. Run it with -benchtime 1x.
func BenchmarkPolls(b *testing.B) {
	body, err := json.Marshal(report("zone-0", 1, rand.New(rand.NewPCG(1, 1))))
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	}}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	b.Cleanup(func() { _ = server.Shutdown(); serving.Wait() })
	for _, perSecond := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("polls=%d", perSecond), func(b *testing.B) {
			from := measure(b, nil)
			polls := 0
			for b.Loop() {
				polls += poll(b, listener.Addr().String(), perSecond)
			}
			to := measure(b, nil)
			seconds := to.at.Sub(from.at).Seconds()
			b.ReportMetric(float64((to.cpu-from.cpu).Microseconds())/1000/seconds, "cpu-ms/s")
			b.ReportMetric(float64(polls)/seconds, "polls/s")
			b.ReportMetric(float64(len(body)), "body-B/poll")
		})
	}
}

// poll polls at a fixed rate for pollDuration and returns the number of polls.
// Each must return a valid report.
func poll(b *testing.B, address string, perSecond int) int {
	b.Helper()
	poller := upstream.NewPoller(time.Second)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	count := perSecond * int(pollDuration/time.Second)
	for range count {
		<-ticker.C
		got, err := poller.Fetch(b.Context(), address)
		if err != nil || len(got.Links) != linksPerReport {
			b.Fatalf("%+v, %v", got, err)
		}
	}
	return count
}
