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

// pollsFor is how long polls are measured.
const pollsFor = 2 * time.Second

// BenchmarkPolls is the processor time of asking engines for their load at a
// pace, the engines' side included. Run it with -benchtime 1x.
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
			asked := 0
			for b.Loop() {
				asked += poll(b, listener.Addr().String(), perSecond)
			}
			to := measure(b, nil)
			seconds := to.at.Sub(from.at).Seconds()
			b.ReportMetric(float64((to.cpu-from.cpu).Microseconds())/1000/seconds, "cpu-ms/s")
			b.ReportMetric(float64(asked)/seconds, "polls/s")
			b.ReportMetric(float64(len(body)), "body-B/poll")
		})
	}
}

// poll asks at a pace for pollsFor, and gives the count of answers.
func poll(b *testing.B, address string, perSecond int) int {
	b.Helper()
	poller := upstream.NewPoller(time.Second)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	count := perSecond * int(pollsFor/time.Second)
	for range count {
		<-ticker.C
		got, err := poller.Fetch(b.Context(), address)
		if err != nil || len(got.Links) != linksPerReport {
			b.Fatalf("%+v, %v", got, err)
		}
	}
	return count
}
