package forward

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/backpressure"
)

// Retry-After holds seconds with or without a fraction, or a date; anything else is
// malformed.
func TestParseRest(t *testing.T) {
	const date = "Thu, 03 Dec 2026 17:00:00 GMT"
	for _, c := range []struct {
		value, date string
		want        time.Duration
		ok          bool
	}{
		{"3", "", 3 * time.Second, true},
		{" 0.25 ", "", 250 * time.Millisecond, true},
		{"0", "", 0, true},
		{"1e300", "", backpressure.MaxRest, true},
		{"+Inf", "", backpressure.MaxRest, true},
		{"Thu, 03 Dec 2026 17:00:07 GMT", date, 7 * time.Second, true},
		{"Thu, 03 Dec 2026 16:59:00 GMT", date, 0, true},
		{"Fri, 04 Dec 2026 17:00:00 GMT", date, backpressure.MaxRest, true},
		{"Thu, 03 Dec 2026 17:00:07 GMT", "", 0, false},
		{"-1", "", 0, false},
		{"NaN", "", 0, false},
		{"soon", date, 0, false},
		{"", date, 0, false},
	} {
		if got, ok := parseRest(c.value, c.date); got != c.want || ok != c.ok {
			t.Errorf("%q with date %q: %v, %v, want %v, %v", c.value, c.date, got, ok, c.want, c.ok)
		}
	}
}

// A parsed rest is within its bounds.
func FuzzParseRest(f *testing.F) {
	f.Add("3", "")
	f.Add("-0.5", "x")
	f.Add("Thu, 03 Dec 2026 17:00:07 GMT", "Thu, 03 Dec 2026 17:00:00 GMT")
	f.Fuzz(func(t *testing.T, value, date string) {
		if rest, ok := parseRest(value, date); rest < 0 || rest > backpressure.MaxRest || !ok && rest != 0 {
			t.Errorf("%q, date %q: %v, %v", value, date, rest, ok)
		}
	})
}

// Guards against a refusal that asks for rest and leaves no trace if it names no engine
// at fault.
func TestRefusalsThatAskForRestAreHeeded(t *testing.T) {
	resting := fakeEngine(t, "a", 0, 10, refusalReply(503, "Retry-After: 30"))
	other := fakeEngine(t, "b", 0, 10, wholeStream(2))
	other.Zone = "far"
	r := newTestServer(t, resting, other)
	for i := range 5 {
		if resp, complete := r.ask(t, "POST", "/stream/x", fmt.Sprint("r", i), "p"); !complete || resp.StatusCode() != 200 {
			t.Errorf("status %d, complete %v", resp.StatusCode(), complete)
		}
	}
	if n := len(resting.requests()); n != 1 {
		t.Errorf("%d requests to an engine that asked for 30 s without any", n)
	}
}

// Guards against requests through a later stage that asks for rest by way of the first.
func TestStageAtFaultGetsItsRest(t *testing.T) {
	second := fakeEngine(t, "b", 5, 10, wholeStream(2))
	first := fakeEngine(t, "a", 0, 5, refusalReply(503, "Retry-After: 30", "Q-Fault: "+second.Address))
	r := newTestServer(t, first, second)
	r.ask(t, "POST", "/stream/x", "r1", "p")
	r.picker.mu.Lock()
	defer r.picker.mu.Unlock()
	for _, id := range []ids.Upstream{"a", "b"} {
		if left := r.picker.backpressure.RestLeft(r.opts.Now(), instance(id)); left < 29*time.Second {
			t.Errorf("%s: %v of the rest are left", id, left)
		}
	}
}

// retryAfterOf returns the Retry-After of a response in seconds.
func retryAfterOf(t *testing.T, resp *fasthttp.Response) float64 {
	t.Helper()
	seconds, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
	if err != nil {
		t.Fatalf("status %d: %v", resp.StatusCode(), err)
	}
	return seconds
}

// Guards against callers who come back before any upstream takes requests again.
func TestRetryAfterFollowsFromTheRest(t *testing.T) {
	long, short := newFakeUpstream(t, "a", "plain", refusalReply(503)), newFakeUpstream(t, "b", "plain", refusalReply(503))
	first, second := fakeEngine(t, "c", 0, 5, refusalReply(503)), fakeEngine(t, "d", 5, 10, refusalReply(503))
	r := newTestServer(t, long, short, first, second)
	for f, rest := range map[*fakeUpstream]time.Duration{long: 20 * time.Second, short: 8 * time.Second, first: 8 * time.Second, second: 20 * time.Second} {
		r.picker.restAsked(&f.Upstream, rest)
	}
	plain, _ := r.ask(t, "GET", "/safe/x", "r1", "")
	if got := retryAfterOf(t, plain); got < 7 || got > 12 {
		t.Errorf("%v s for a plain request, want the shorter rest of 8 s and up to half of it", got)
	}
	stream, _ := r.ask(t, "POST", "/stream/x", "r2", "p")
	if got := retryAfterOf(t, stream); got < 19 || got > 30 {
		t.Errorf("%v s for a stream, want the longer rest of 20 s and up to half of it", got)
	}
}

// Guards against requests that were under way to an upstream when another one was refused
// there with a rest.
func TestQueuedRequestsAreCheckedAgainBeforeTheyAreSent(t *testing.T) {
	for path, method := range map[string]string{"/safe/x": "GET", "/unsafe/x": "POST", "/stream/x": "POST"} {
		spared := newFakeUpstream(t, "a", "plain", okReply("a"))
		engine := fakeEngine(t, "b", 0, 10, wholeStream(2))
		r := newTestServer(t, spared, engine)
		r.metrics.onAdd = func(name string) {
			if name == "upstream.connections" {
				r.picker.restAsked(&spared.Upstream, 30*time.Second)
				r.picker.restAsked(&engine.Upstream, 30*time.Second)
			}
		}
		if resp, _ := r.ask(t, method, path, "r1", "p"); resp.StatusCode() != 503 {
			t.Errorf("%s: status %d", path, resp.StatusCode())
		}
		expectNoRequests(t, spared)
		expectNoRequests(t, engine)
	}
}

// A malformed Retry-After is counted and asks for no rest.
func TestMalformedRestIsCounted(t *testing.T) {
	refusing := newFakeUpstream(t, "a", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		return reply(conn, req, 503, "", "Q-Not-Run: 1", "Retry-After: "+strconv.FormatFloat(math.NaN(), 'f', -1, 64))
	})
	r := newTestServer(t, refusing)
	for i := range 2 {
		r.ask(t, "GET", "/safe/x", fmt.Sprint("r", i), "")
	}
	if n := r.metrics.get("upstream.rest_malformed"); n != 2 || len(refusing.requests()) != 2 {
		t.Errorf("counted %d times, %d requests, want both twice", n, len(refusing.requests()))
	}
}
