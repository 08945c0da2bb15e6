package upstream

import (
	"strings"
	"testing"
	"time"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/decide/topology"
)

func plainSend(address string) router.Send {
	return router.Send{
		ID: "r1", Attempt: 1, StallAfter: testStall, ConnectTimeout: testStall, Remaining: 1500 * time.Microsecond,
		Chain: topology.Chain{{ID: "p1", Address: address}},
	}
}

func plainCall(method, path, body string) *call.Call {
	c := call.New("r1", call.Options{})
	c.Plain = &call.PlainCall{Method: method, Path: path, Body: []byte(body)}
	return c
}

func TestPlainCallIsPassedAsItIs(t *testing.T) {
	f := newFake(t, respond("HTTP/1.1 201 X\r\nContent-Type: text/plain\r\nServer: x\r\nETag: \"1\"\r\nContent-Length: 2\r\n\r\nok"))
	c := plainCall("POST", "/a%2e/b ?c\r\n", "body")
	c.Plain.Query = "q=1%20"
	c.Plain.Header = [][2]string{{"Content-Type", "text/x"}}
	e := runOne(t, t.Context(), New(Options{}), plainSend(f.address), c, &sink{})
	failIf(t, e.Phase != outcome.Finished || e.Upstream != "p1", "end %+v", e)
	want := &call.PlainAnswer{Status: 201, Header: [][2]string{{"Content-Type", "text/plain"}, {"Etag", "\"1\""}}, Body: []byte("ok")}
	got := c.Answer()
	for i := range got.Header {
		got.Header[i][0] = strings.Replace(got.Header[i][0], "ETag", "Etag", 1)
	}
	equal(t, want, got)
	req := f.first()
	if uri := string(req.Header.RequestURI()); uri != "/a%252e/b%20%3Fc%0D%0A?q=1%20" {
		t.Fatalf("request URI %s", uri)
	}
	heads := []string{string(req.Header.Method()), string(req.Header.ContentType()), string(req.Body()), string(req.Header.Peek(RequestHeader)), string(req.Header.Peek(TimeoutHeader))}
	equal(t, []string{"POST", "text/x", "body", "r1", "2"}, heads)
}

func TestPlainEnds(t *testing.T) {
	const notStarted = "Mimosa-Not-Started: true\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		answer string
		phase  outcome.Phase
		reason outcome.Reason
		retry  time.Duration
		status int
	}{
		"not found":        {"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", outcome.Finished, "", 0, 404},
		"no content":       {"HTTP/1.1 204 X\r\n\r\n", outcome.Finished, "", 0, 204},
		"server error":     {"HTTP/1.1 500 X\r\nContent-Length: 1\r\n\r\nx", outcome.Finished, "", 0, 500},
		"plain 503":        {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", outcome.Finished, "", 0, 503},
		"not started 503":  {"HTTP/1.1 503 X\r\n" + notStarted, outcome.Refused, outcome.UpstreamRefused, 2 * time.Second, 0},
		"not started 429":  {"HTTP/1.1 429 X\r\n" + notStarted, outcome.Refused, outcome.UpstreamBusy, 2 * time.Second, 0},
		"rest, fraction":   {"HTTP/1.1 503 X\r\nRetry-After: 0.5\r\n" + strings.ReplaceAll(notStarted, "Retry-After: 2\r\n", ""), outcome.Refused, outcome.UpstreamRefused, 500 * time.Millisecond, 0},
		"rest, negative":   {"HTTP/1.1 503 X\r\nRetry-After: -1\r\n" + strings.ReplaceAll(notStarted, "Retry-After: 2\r\n", ""), outcome.Refused, outcome.UpstreamRefused, 0, 0},
		"rest, absurd":     {"HTTP/1.1 503 X\r\nRetry-After: 1e300\r\n" + strings.ReplaceAll(notStarted, "Retry-After: 2\r\n", ""), outcome.Refused, outcome.UpstreamRefused, maxRetryAfter, 0},
		"not started 500":  {"HTTP/1.1 500 X\r\n" + notStarted, outcome.Finished, "", 0, 500},
		"chunked":          {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("ab") + lastChunk, outcome.Finished, "", 0, 200},
		"length not met":   {"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf", outcome.Started, outcome.UpstreamLost, 0, 0},
		"length, no body":  {"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n", outcome.Started, outcome.UpstreamLost, 0, 0},
		"chunk end gone":   {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("ab"), outcome.Started, outcome.UpstreamLost, 0, 0},
		"last chunk cut":   {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("ab") + "0\r\n", outcome.Started, outcome.UpstreamLost, 0, 0},
		"ends by close":    {"HTTP/1.1 200 X\r\n\r\nwhole?", outcome.Started, outcome.UpstreamLost, 0, 0},
		"length too large": {"HTTP/1.1 200 X\r\nContent-Length: 2000\r\n\r\n", outcome.Started, outcome.UpstreamInvalid, 0, 0},
		"chunks too large": {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("x", 2000)) + lastChunk, outcome.Started, outcome.UpstreamInvalid, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, respond(test.answer))
			c := plainCall("POST", "/bookings", "{}")
			e := runOne(t, t.Context(), New(Options{MaxBodyBytes: 1000}), plainSend(f.address), c, &sink{})
			failIf(t, e.Phase != test.phase || e.Reason != test.reason || e.RetryAfter != test.retry, "end %+v", e)
			if a := c.Answer(); a != nil && len(a.Header) != 0 && a.Status != 500 {
				t.Fatalf("unexpected response headers %q", a.Header)
			}
			if a := c.Answer(); (a != nil) != (test.status != 0) || a != nil && a.Status != test.status {
				t.Fatalf("answer %+v", a)
			}
			if conns, requests := f.counts(); conns != 1 || requests != 1 {
				t.Fatalf("%d connections, %d requests", conns, requests)
			}
		})
	}
}

func TestPlainCallIsNeverRejoined(t *testing.T) {
	f := newFake(t, respond("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"))
	send := plainSend(f.address)
	send.Resume = &router.Resume{Request: "r0", Attempt: 1}
	e := runOne(t, t.Context(), New(Options{}), send, plainCall("POST", "/bookings", "{}"), &sink{})
	if conns, _ := f.counts(); conns != 0 || e.Phase != outcome.MaybeSent || e.Reason != outcome.BadRequest {
		t.Fatalf("%d connections, end %+v", conns, e)
	}
}
