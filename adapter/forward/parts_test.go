package forward

import (
	"fmt"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/routing"
)

func TestSharedPartsOfThePromptAreParsed(t *testing.T) {
	for value, want := range map[string][]ids.PromptPart{
		"":                        nil,
		"a1:40":                   nil,
		"a1:40,own:5":             {"a1"},
		"a1:40, b2:30 ,own:5":     {"a1", "b2"},
		"a1:40,a1:40,own:5":       {"a1"},
		"a1,b2:x,:7,own":          {"a1", "b2"},
		"a1:40,,own:5":            {"a1"},
		"a1:40,b2:30,own:5,more:": {"a1", "b2", "own"},
	} {
		req := &fasthttp.Request{}
		req.Header.Set(testHeaders.PromptParts, value)
		x := &exchange{server: &Server{opts: Options{Headers: testHeaders}}, req: req}
		if diff := cmp.Diff(want, x.parsePromptParts()); diff != "" {
			t.Errorf("%q: %s", value, diff)
		}
	}
}

// Guards against a stream with a part that crashes engines which is sent on because no request
// like it has been seen.
func TestRequestWithAPartThatCrashedUpstreamsIsRefused(t *testing.T) {
	crash := func(conn net.Conn, _ *fasthttp.Request) bool {
		_ = conn.Close()
		return false
	}
	var upstreams []*fakeUpstream
	for _, id := range []string{"a", "b", "c", "d"} {
		upstreams = append(upstreams, newFakeUpstream(t, id, "plain", crash))
	}
	r := newTestServer(t, upstreams...)
	for i, u := range upstreams[:3] {
		x := &exchange{server: r.Server, req: &fasthttp.Request{}}
		x.req.Header.Set(testHeaders.PromptParts, "bad:40,own:1")
		x.service, x.fingerprint = "plain", quarantine.Fingerprint(fmt.Sprint("request-", i))
		x.setParts()
		x.recordLostRun(r.opts.Now(), false, false, u.ID)
		r.crashes.upstreamDied(&u.Upstream)
	}
	x := &exchange{server: r.Server, req: &fasthttp.Request{}}
	x.req.Header.Set(testHeaders.PromptParts, "bad:40,own:2")
	x.service, x.fingerprint = "plain", "another"
	x.setParts()
	if !x.quarantined() {
		t.Error("a request with the part is not refused after three crashes")
	}
	sound := &exchange{server: r.Server, req: &fasthttp.Request{}}
	sound.req.Header.Set(testHeaders.PromptParts, "good:40,own:3")
	sound.service, sound.fingerprint = "plain", "sound"
	sound.setParts()
	if sound.quarantined() {
		t.Error("a request without the part is refused")
	}
}

// partExchange returns a stream with a part of its prompt that others share.
func partExchange(r *testServer, fingerprint string) *exchange {
	x := &exchange{server: r.Server, req: &fasthttp.Request{}, service: "plain", fingerprint: quarantine.Fingerprint(fingerprint)}
	x.req.Header.Set(testHeaders.PromptParts, "bad:40,own"+fingerprint+":1")
	x.setParts()
	return x
}

// Guards against an engine that ends right after its first event, and whose loss is noticed so late
// that it counts as a success of the parts of the prompt.
func TestEngineThatIsFoundLostLateHasNotLived(t *testing.T) {
	r := newTestServer(t)
	for i, id := range []ids.Upstream{"a", "b", "c"} {
		dead := &directory.Upstream{ID: instance(id), Service: "plain"}
		w := &stallWatch{s: &stream{x: partExchange(r, fmt.Sprint(i))}, eventSeen: true}
		found := r.opts.Now()
		w.recordWriting(found.Add(-2 * quarantine.LivedTime))
		w.recordBypassed(chain.Chain{{Engine: dead}}, nil)
		r.crashes.upstreamDied(dead)
	}
	if !partExchange(r, "another").quarantined() {
		t.Error("a part that crashed three engines is not refused")
	}
}

// Guards against a response that was complete before the last engine wrote anything, and that
// clears the parts of the prompt.
func TestStreamResumedAfterItsLastEventClearsNoParts(t *testing.T) {
	r := newTestServer(t)
	for i, id := range []ids.Upstream{"a", "b", "c"} {
		dead := &directory.Upstream{ID: instance(id), Service: "plain"}
		x := partExchange(r, fmt.Sprint(i))
		x.recordLostRun(r.opts.Now(), true, false, dead.ID)
		r.crashes.upstreamDied(dead)
		x.sentAt, x.events, x.route = r.opts.Now(), 5, &routing.Route{Kind: routing.Streaming}
		x.recordAnswered(200, dead)
	}
	if !partExchange(r, "another").quarantined() {
		t.Error("a part that crashed three engines is not refused")
	}
}
