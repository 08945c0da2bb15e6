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

// A node's share of the target: 15 requests and 3,100 tokens a second.
const (
	shareRate   = 15
	shareTokens = 207
	shareFor    = 5 * time.Second
)

// accountKey is the bearer key of the one account.
const accountKey = "key"

// startNode starts stand-ins and one node that is ready.
func startNode(tb testing.TB) (*standins.Fleet, *node.Node) {
	tb.Helper()
	fleetOf, err := standins.Start(standins.Small())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(fleetOf.Close)
	key := sha256.Sum256([]byte(accountKey))
	for _, doc := range []string{
		"kind: service\nname: mimosa-drafts\ntype: model\nprofile: p\nlayers: 12\n",
		"kind: accounts\nname: a\naccounts:\n  - id: school\n    rate: 10000\n    key_sha256: " + hex.EncodeToString(key[:]) + "\n",
	} {
		parsed, err := fleet.Parse([]byte(doc))
		if err != nil {
			tb.Fatal(err)
		}
		fleetOf.Platform.Put(fleet.Key(parsed), []byte(doc))
	}
	n, err := node.Start(settings.Settings{
		VM: "vm-1", Zone: "szeged-a",
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Platform: []string{fleetOf.Platform.Addr()},
	}.WithDefaults(), zerolog.Nop())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(n.Close)
	if err := n.WaitReady(tb.Context()); err != nil {
		tb.Fatal(err)
	}
	return fleetOf, n
}

// times are when a stream's tokens came, counted from the send.
type times []time.Duration

// runShare sends requests at a node's share of the target and gathers the
// times of each stream.
func runShare(send func(i int) times) []times {
	var mu sync.Mutex
	var all []times
	var streams sync.WaitGroup
	ticker := time.NewTicker(time.Second / shareRate)
	defer ticker.Stop()
	for i := range int(shareFor.Seconds() * shareRate) {
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

// messages make each request another one.
func messages(i int) []engineapi.Message {
	return []engineapi.Message{{Role: "user", Content: fmt.Sprintf("summary %d", i)}}
}

// direct sends a request straight to the head of a chain.
func direct(tb testing.TB, f *standins.Fleet, i int) times {
	zone := []string{"szeged-a", "szeged-b", "kecskemet"}[i%3]
	stage := func(name string, first, last int) engineapi.Stage {
		id := name + "-" + zone + "-0"
		return engineapi.Stage{Engine: id, Address: f.Engine(id).Addr(), First: first, Last: last}
	}
	body, err := json.Marshal(engineapi.ChatRequest{
		Model: "mimosa-drafts", Messages: messages(i), MaxTokens: shareTokens, Stream: true,
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
	began := time.Now()
	if err := c.Do(req, resp); err != nil {
		tb.Error(err)
		return nil
	}
	defer func() { _ = resp.CloseBodyStream() }()
	var got times
	lines := bufio.NewScanner(resp.BodyStream())
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("id:")) {
			got = append(got, time.Since(began))
		}
	}
	return got
}

// through sends a request through the node.
func through(tb testing.TB, c *client.Client, i int) times {
	var got times
	began := time.Now()
	result, err := c.Chat(context.Background(), client.Chat{
		Model: "mimosa-drafts", Messages: messages(i), MaxTokens: shareTokens,
		OnToken: func(int, string) { got = append(got, time.Since(began)) },
	})
	if err != nil || result.Tokens != shareTokens {
		tb.Errorf("%+v %v", result, err)
	}
	return got
}

// report gives the metrics of a run under a name.
func report(b *testing.B, name string, all []times) {
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

// BenchmarkOverhead compares a node with the same engines called directly, at
// a node's share of the target. Run it with -benchtime 1x.
func BenchmarkOverhead(b *testing.B) {
	f, n := startNode(b)
	c := client.New(client.Options{Address: n.CallerAddr(), Key: accountKey})
	defer c.Close()
	for range b.N {
		report(b, "direct", runShare(func(i int) times { return direct(b, f, i) }))
		report(b, "node", runShare(func(i int) times { return through(b, c, i) }))
	}
}
