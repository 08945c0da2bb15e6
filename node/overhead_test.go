package node_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/loadgen/client"
	"mimosaarch.example/node"
	"mimosaarch.example/node/settings"
	standins "mimosaarch.example/standin/fleet"
)

// The load of one node: 15 requests and 3,100 tokens per second.
const (
	requestsPerSecond = 15
	tokensPerRequest  = 207
	loadDuration      = 5 * time.Second
)

// accountKey is the bearer key of the only account.
const accountKey = "key"

// startNode starts stand-ins for the platform and the engines, and a node, and
// waits until the node is ready.
func startNode(tb testing.TB) (*standins.Fleet, *node.Node) {
	tb.Helper()
	standinFleet, err := standins.Start(standins.Small())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(standinFleet.Close)
	key := sha256.Sum256([]byte(accountKey))
	for _, doc := range []string{
		"kind: service\nname: mimosa-drafts\ntype: model\nprofile: p\nlayers: 12\n",
		"kind: accounts\nname: a\naccounts:\n  - id: school\n    rate: 10000\n    key_sha256: " + hex.EncodeToString(key[:]) + "\n",
	} {
		parsed, err := fleet.Parse([]byte(doc))
		if err != nil {
			tb.Fatal(err)
		}
		standinFleet.Platform.Put(fleet.Key(parsed), []byte(doc))
	}
	n, err := node.Start(settings.Settings{
		VM: "vm-1", Zone: "szeged-a",
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Platform: []string{standinFleet.Platform.Addr()},
	}.WithDefaults(), zerolog.Nop())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(n.Close)
	if err := n.WaitReady(tb.Context()); err != nil {
		tb.Fatal(err)
	}
	return standinFleet, n
}

// tokenTimes are the arrival times of a stream's tokens, relative to the start
// of the request.
type tokenTimes []time.Duration

// runLoad sends requests at the load of one node and returns the token times of
// each stream.
func runLoad(send func(i int) tokenTimes) []tokenTimes {
	var mu sync.Mutex
	var all []tokenTimes
	var streams sync.WaitGroup
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	for i := range int(loadDuration.Seconds() * requestsPerSecond) {
		<-ticker.C
		streams.Go(func() {
			got := send(i)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got)
		})
	}
	streams.Wait()
	return all
}

// uniqueMessages returns messages that differ for each i.
func uniqueMessages(i int) []engineapi.Message {
	return []engineapi.Message{{Role: "user", Content: fmt.Sprintf("summary %d", i)}}
}

// sendDirect sends a request directly to the head engine of a chain.
func sendDirect(tb testing.TB, f *standins.Fleet, i int) tokenTimes {
	zone := []string{"szeged-a", "szeged-b", "kecskemet"}[i%3]
	stage := func(name string, first, last int) engineapi.Stage {
		id := name + "-" + zone + "-0"
		return engineapi.Stage{Engine: id, Address: f.Engine(id).Addr(), First: first, Last: last}
	}
	body, err := json.Marshal(engineapi.ChatRequest{
		Model: "mimosa-drafts", Messages: uniqueMessages(i), MaxTokens: tokensPerRequest, Stream: true,
		Request: fmt.Sprintf("direct-%d", i), Attempt: 1,
		Chain: []engineapi.Stage{stage("head", 0, 3), stage("mid", 4, 8), stage("tail", 9, 11)},
	})
	if err != nil {
		tb.Fatal(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.Engine("head-"+zone+"-0").Addr() + engineapi.ChatPath)
	req.SetBody(body)
	c := fasthttp.Client{StreamResponseBody: true, MaxIdemponentCallAttempts: 1}
	start := time.Now()
	if err := c.Do(req, resp); err != nil {
		tb.Error(err)
		return nil
	}
	defer func() { _ = resp.CloseBodyStream() }()
	var got tokenTimes
	lines := bufio.NewScanner(resp.BodyStream())
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("id:")) {
			got = append(got, time.Since(start))
		}
	}
	return got
}

// sendThroughNode sends a request through the node.
func sendThroughNode(tb testing.TB, c *client.Client, i int) tokenTimes {
	var got tokenTimes
	start := time.Now()
	result, err := c.Chat(context.Background(), client.Chat{
		Model: "mimosa-drafts", Messages: uniqueMessages(i), MaxTokens: tokensPerRequest,
		OnToken: func(int, string) { got = append(got, time.Since(start)) },
	})
	if err != nil || result.Tokens != tokensPerRequest {
		tb.Errorf("%+v %v", result, err)
	}
	return got
}

// reportPercentiles reports the percentiles of the time to the first token and
// between tokens as benchmark metrics.
func reportPercentiles(b *testing.B, name string, all []tokenTimes) {
	var first, between []time.Duration
	for _, got := range all {
		for i, at := range got {
			if i == 0 {
				first = append(first, at)
				continue
			}
			between = append(between, at-got[i-1])
		}
	}
	for what, values := range map[string][]time.Duration{"first": first, "between": between} {
		slices.Sort(values)
		for _, p := range []int{50, 95} {
			at := values[len(values)*p/100]
			b.ReportMetric(float64(at.Microseconds()), fmt.Sprintf("%s-%s-p%d-us", name, what, p))
		}
	}
}

// BenchmarkOverhead compares the token times through a node with those of
// direct requests to the same engines, at the load of one node. Run it with
// -benchtime 1x.
func BenchmarkOverhead(b *testing.B) {
	f, n := startNode(b)
	c := client.New(client.Options{Address: n.CallerAddr(), Key: accountKey})
	defer c.Close()
	for range b.N {
		reportPercentiles(b, "direct", runLoad(func(i int) tokenTimes { return sendDirect(b, f, i) }))
		reportPercentiles(b, "node", runLoad(func(i int) tokenTimes { return sendThroughNode(b, c, i) }))
	}
}
