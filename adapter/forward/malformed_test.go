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
