package forward

import (
	"fmt"
	"strings"
	"testing"

	"mimosaarch.example/core/httphead/headtest"
)

// Guards against a response whose head is malformed, such as one with status 000, that reaches a
// caller as a success or is believed to be a refusal.
func TestResponseWithAMalformedHeadIsNotPassedOn(t *testing.T) {
	const event = "id: 1\ndata: e1\n\n"
	for name, responses := range map[string]map[string]string{
		"answer":    headtest.Malformed("Q-Id: %s\r\nQ-Seal: s\r\nContent-Length: 2\r\n", "ok"),
		"no length": headtest.Malformed("Q-Id: %s\r\nQ-Seal: s\r\n", "ok"),
		"events":    headtest.Malformed("Q-Id: %s\r\nQ-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n", event),
		"refusal":   headtest.Malformed("Q-Id: %s\r\nQ-Not-Run: 1\r\nRetry-After: 3\r\nContent-Length: 2\r\n", "ok"),
	} {
		for head, text := range responses {
			t.Run(name+"/"+head, func(t *testing.T) {
				t.Parallel()
				checkIsNoAnswer(t, text)
			})
		}
	}
}

// Guards against a check that keeps back answers which HTTP/1 allows.
func TestUnusualStatusLinesArePassedOn(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, status := range []string{"200", "200 ", "200 \tO\x80K\xff", "299 X", "399 X", "404 X", "499 X", "500 X", "599 X"} {
			text := fmt.Sprintf("%s %s\r\nQ-Id: %%s\r\nQ-Seal: s\r\nContent-Length: 2\r\n\r\nok", version, status)
			r := newTestServer(t, newFakeUpstream(t, "u1", "plain", answerText(text)))
			resp, complete := r.ask(t, "POST", "/unsafe/x", "r1", "b")
			if !complete || fmt.Sprint(resp.StatusCode()) != strings.Fields(status)[0] || string(resp.Body()) != "ok" {
				t.Errorf("%s %q: response %d %q, complete %v", version, status, resp.StatusCode(), resp.Body(), complete)
			}
		}
	}
}

// Guards against a body that is not the upstream's, or a refusal, an id or a signature that is
// believed, because a name of a field in the head is damaged.
func TestResponseWithADamagedNameIsNotPassedOn(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\n", "\r\n\r\nthis is the whole body!"
	for name, text := range map[string]string{
		"length, blank before the colon":   head + "Content-Length : 4" + body,
		"length, blank in the name":        head + "Content Length: 4" + body,
		"length, blank before the name":    head + " Content-Length: 4" + body,
		"chunks, blank in the name":        head + "Transfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks, blank before the colon":   head + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"id, blank before the colon":       "HTTP/1.1 200 OK\r\nQ-Id : %s\r\nQ-Seal: s\r\nContent-Length: 2\r\n\r\nok",
		"signature, blank before the name": "HTTP/1.1 200 OK\r\nQ-Id: %s\r\n Q-Seal: s\r\nContent-Length: 2\r\n\r\nok",
		"refusal, blank before the colon":  "HTTP/1.1 503 Busy\r\nQ-Id: %s\r\nQ-Not-Run : 1\r\nContent-Length: 2\r\n\r\nok",
		"refusal, blank in another name":   "HTTP/1.1 503 Busy\r\nQ-Id: %s\r\nQ-Not-Run: 1\r\nX Bad: v\r\nContent-Length: 2\r\n\r\nok",
		"refusal as misdirected":           "HTTP/1.1 421 Misdirected\r\nQ-Id: %s\r\nX Bad: v\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkIsNoAnswer(t, text)
		})
	}
}

// Guards against a load, a limit, a rest or the word that an upstream leaves that is believed although
// the head that tells it is damaged.
func TestNothingInADamagedHeadIsBelieved(t *testing.T) {
	const head = "HTTP/1.1 %s X\r\nQ-Id: %%s\r\nQ-Seal: s\r\nQ-Not-Run: 1\r\nQ-Load: 9,9,4\r\nQ-Limit: 1\r\nQ-Leaving: 1\r\nRetry-After: 60\r\nX Bad: v\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"200", "429", "503"} {
		bad := fakeEngine(t, "a", 0, 10, answerText(fmt.Sprintf(head, status)))
		r := newTestServer(t, bad)
		resp, _ := r.ask(t, "POST", "/once/x", "r1", "p")
		if resp.StatusCode() != 502 || len(resp.Header.Peek("Retry-After")) > 0 {
			t.Errorf("status %s: response %d with Retry-After %q", status, resp.StatusCode(), resp.Header.Peek("Retry-After"))
		}
		if notices := r.limitNotices(); len(notices) > 0 {
			t.Errorf("status %s: limits %+v", status, notices)
		}
		for _, counter := range []string{"upstream.rests", "upstream.limits_named", "upstream.limit_malformed", "upstream.rest_malformed", "upstream.load_malformed", "upstream.leaving_malformed"} {
			if n := r.metrics.get(counter); n > 0 {
				t.Errorf("status %s: %s is %d", status, counter, n)
			}
		}
		if u := r.opts.View().Get(bad.ID); u == nil || u.Leaving {
			t.Errorf("status %s: the upstream counts as leaving", status)
		}
		if n := len(bad.requests()); n != 1 {
			t.Errorf("status %s: sent %d times", status, n)
		}
	}
}

// Guards against a check that keeps back header fields which HTTP/1 allows, or changes them.
func TestUnusualFieldsArePassedOn(t *testing.T) {
	fields := map[string]string{
		"X-Empty": "", "X-Odd": "a\tb  c:d,\"e\"", "X-High": "\x80\xfe\xff", "X-!#$%&'*+.^_`|~09": "every character of a name", "x": "y",
	}
	text := "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Length:2\r\n"
	for name, value := range fields {
		text += name + ": " + value + "\r\n"
	}
	r := newTestServer(t, newFakeUpstream(t, "u1", "plain", answerText(text+"\r\nok")))
	resp, complete := r.ask(t, "POST", "/unsafe/x", "r1", "b")
	if !complete || resp.StatusCode() != 200 || string(resp.Body()) != "ok" {
		t.Fatalf("response %d %q, complete %v", resp.StatusCode(), resp.Body(), complete)
	}
	for name, value := range fields {
		if got := resp.Header.Peek(name); string(got) != value {
			t.Errorf("%s: %q, want %q", name, got, value)
		}
	}
}

// Guards against the sizes of chunks that become a part of the body.
func TestChunksOfHTTP10AreNotPassedOn(t *testing.T) {
	checkIsNoAnswer(t, "HTTP/1.0 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\ntransfer-encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n")
}
