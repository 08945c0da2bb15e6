package upstream

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/httphead/headtest"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// response is the fields and the body of a response that would count.
type response struct{ fields, body string }

// malformed returns the response with malformed heads.
func (r response) malformed() map[string]string {
	return headtest.Malformed(fmt.Sprintf("%sContent-Length: %d\r\n", r.fields, len(r.body)), r.body)
}

// Guards against a response that counts as an answer or as a refusal although its head is
// malformed.
func TestAttemptWithMalformedHeadMayHaveRun(t *testing.T) {
	const stream = "data: {\"index\":0,\"attempt\":1,\"text\":\"x\"}\n\n"
	wholes := map[string]response{
		"answer":      {"", "ok"},
		"not started": {NotStartedHeader + ": true\r\n", ""},
		"refusal":     {"", `{"code":"busy","retry_after_ms":5}`},
		"events":      {engineapi.EpochHeader + ": e1\r\nContent-Type: text/event-stream\r\n", stream},
	}
	kinds := map[string]func(address string) (router.Send, *call.Call){
		"plain": func(address string) (router.Send, *call.Call) {
			return plainSend(address), plainCall("POST", "/bookings", "{}")
		},
		"model": func(address string) (router.Send, *call.Call) { return modelSend(address), chatCall() },
	}
	for kind, start := range kinds {
		for name, whole := range wholes {
			for head, text := range whole.malformed() {
				t.Run(fmt.Sprint(kind, "/", name, "/", head), func(t *testing.T) {
					t.Parallel()
					f := newFake(t, respond(text))
					send, c := start(f.address)
					s := &sink{}
					e := runOne(t, t.Context(), New(Options{}), send, c, s)
					failIf(t, e.Phase != outcome.MaybeSent || e.Reason != outcome.UpstreamInvalid || e.RetryAfter != 0, "end %+v", e)
					failIf(t, c.Answer() != nil || c.TokenCount() != 0, "answer %+v, %d tokens", c.Answer(), c.TokenCount())
					if conns, requests := f.counts(); conns != 1 || requests != 1 {
						t.Fatalf("%d connections, %d requests", conns, requests)
					}
				})
			}
		}
	}
}

// Guards against control calls and polls that take a malformed head for an engine's reply.
func TestControlCallsWithMalformedHeadFail(t *testing.T) {
	cancelled := response{"", `{"state":"not_started","epoch":"e1"}`}.malformed()
	report := response{"", `{"engine":"e","epoch":"e1"}`}.malformed()
	for head := range cancelled {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			f := newFake(t, respond(cancelled[head]))
			if reply, err := Cancel(t.Context(), f.address, "r1"); err == nil {
				t.Errorf("cancel got %+v", reply)
			}
			g := newFake(t, respond(report[head]))
			p := NewPoller(time.Second)
			if got, err := p.Fetch(context.Background(), g.address); err == nil {
				t.Errorf("poll got %+v", got)
			} else if !strings.Contains(err.Error(), "malformed") {
				t.Errorf("poll failed with %v", err)
			}
			if _, polls := g.counts(); polls != 1 {
				t.Errorf("polled %d times", polls)
			}
		})
	}
}
