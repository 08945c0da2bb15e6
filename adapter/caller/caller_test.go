package caller

import (
	"context"
	"encoding/json"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

func TestChatAnswerIsWhole(t *testing.T) {
	b := startServer(t, nil)
	c := b.dial(t).send(chat(validChat, "Authorization: Bearer secret", "Idempotency-Key: k1", "Mimosa-Timeout-Ms: 1500"))
	a := <-b.admitted
	want := router.RequestArrived{
		ID: "r1", Service: "m", KeySHA256: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
		IdempotencyKey: "k1", Priority: 2, Deadline: testNow.Add(1500 * time.Millisecond), PromptTokens: 2, MaxTokens: 7,
	}
	if diff := cmp.Diff(want, a.arrived, cmpopts.IgnoreFields(router.RequestArrived{}, "Fingerprint")); diff != "" || len(a.arrived.Fingerprint) != 64 {
		t.Fatal(diff)
	}
	wantChat := &engineapi.ChatRequest{Model: "m", Messages: []engineapi.Message{{Role: "user", Content: "hi"}}, MaxTokens: 7, Priority: 2}
	if diff := cmp.Diff(wantChat, a.call.Chat); diff != "" || a.call.Stream || a.call.Plain != nil {
		t.Fatal(diff)
	}
	push(t, a.call, "a", "<b")
	a.call.SetFinishReason(engineapi.FinishLength)
	a.call.Finish(nil)
	resp, body := c.readAnswer()
	var got completion
	must(t, json.Unmarshal([]byte(body), &got))
	wantBody := completion{
		ID: "r1", Object: "chat.completion", Model: "m", Usage: usage{2}, Mimosa: summary{outcome.Complete, "r1", 2},
		Choices: []choice{{Message: engineapi.Message{Role: "assistant", Content: "a<b"}, FinishReason: "length"}},
	}
	if diff := cmp.Diff(wantBody, got); diff != "" || resp.StatusCode() != 200 || string(resp.Header.Peek(OutcomeHeader)) != "complete" {
		t.Fatal(resp.StatusCode(), diff)
	}
}

// readEvents reads from a stream until n events have arrived and returns them.
// It blocks if one of them is sent only together with a later one.
func readEvents(t *testing.T, read func([]byte) (int, error), n int) []string {
	t.Helper()
	var text string
	for strings.Count(text, "\n\n") < n {
		block := make([]byte, 4096)
		k, err := read(block)
		text += string(block[:k])
		failIf(t, err != nil, "%v after %q", err, text)
	}
	return strings.Split(strings.TrimSuffix(text, "\n\n"), "\n\n")
}

func TestStreamIsFlushedPerTokenAndMarked(t *testing.T) {
	b := startServer(t, nil)
	c := b.dial(t).send(chat(streamChat))
	a := <-b.admitted
	push(t, a.call, "a")
	resp := c.readHead()
	failIf(t, resp.StatusCode() != 200 || string(resp.Header.ContentType()) != "text/event-stream" || string(resp.Header.Peek(RequestHeader)) != "r1", "head %s", &resp.Header)
	body := resp.BodyStream()
	const token = `data: {"id":"r1","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"%"},"finish_reason":null}]}`
	for i, text := range []string{"a", "b"} {
		if i > 0 {
			push(t, a.call, text)
		}
		want := []string{"id: " + strconv.Itoa(i) + "\n" + strings.Replace(token, "%", text, 1)}
		equal(t, want, readEvents(t, body.Read, 1))
	}
	a.call.Finish(nil)
	want := []string{
		`data: {"id":"r1","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"mimosa":{"outcome":"complete","request":"r1","tokens":2}}`,
		"data: [DONE]",
	}
	equal(t, want, readEvents(t, body.Read, 2))
}

func TestFailureMidstreamHasNoEndMarker(t *testing.T) {
	b := startServer(t, nil)
	c := b.dial(t).send(chat(streamChat))
	a := <-b.admitted
	push(t, a.call, "a")
	a.call.Finish(&outcome.Error{Outcome: outcome.Unknown, Reason: outcome.UpstreamLost, Detail: "d", RetryAfter: 1500 * time.Microsecond})
	_, body := c.readAnswer()
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	want := errorDetail{Type: "server_error", Outcome: outcome.Unknown, Reason: outcome.UpstreamLost, Message: "d", RequestID: "r1", RetryAfterMs: 2}
	if diff := cmp.Diff(want, detail(t, strings.TrimPrefix(events[1], "data: "))); diff != "" || len(events) != 2 {
		t.Fatalf("%q %s", body, diff)
	}
}

func TestRefusalBeforeFirstTokenHasItsStatus(t *testing.T) {
	for _, stream := range []bool{true, false} {
		b := startServer(t, nil)
		body := validChat
		if stream {
			body = streamChat
		}
		c := b.dial(t).send(chat(body))
		a := <-b.admitted
		a.call.Finish(outcome.Refuse(outcome.QueueFull, "", 1001*time.Millisecond))
		resp, text := c.readAnswer()
		want := errorDetail{Type: "rate_limit_error", Outcome: outcome.NotRun, Reason: outcome.QueueFull, Message: "queue_full", RequestID: "r1", RetryAfterMs: 1001}
		equal(t, want, detail(t, text))
		failIf(t, resp.StatusCode() != 429 || string(resp.Header.Peek("Retry-After")) != "2" || string(resp.Header.Peek(OutcomeHeader)) != "not_run", "head %s", &resp.Header)
	}
}

func TestStatuses(t *testing.T) {
	for reason, status := range map[outcome.Reason]int{
		outcome.Unauthorized: 401, outcome.Forbidden: 403, outcome.UnknownService: 404, outcome.DeadlineExpired: 408,
		outcome.KeyReused: 409, outcome.BodyTooLarge: 413, outcome.Quarantined: 422, outcome.AccountLimit: 429,
		outcome.Draining: 503, outcome.NoUpstream: 503, outcome.ConnectFailed: 503, outcome.UpstreamBusy: 503,
	} {
		if got := statusOf(outcome.Refuse(reason, "", 0)); got != status {
			t.Errorf("%s: status %d, want %d", reason, got, status)
		}
	}
	for _, test := range []struct {
		outcome outcome.Outcome
		reason  outcome.Reason
		status  int
	}{
		{outcome.Unknown, outcome.UpstreamStalled, 504},
		{outcome.Unknown, outcome.DeadlineExpired, 504},
		{outcome.Unknown, outcome.UpstreamLost, 502},
		{outcome.AlreadyRun, outcome.DuplicateDone, 409},
		{outcome.Running, outcome.DuplicateRunning, 409},
	} {
		if got := statusOf(&outcome.Error{Outcome: test.outcome, Reason: test.reason}); got != test.status {
			t.Errorf("%s %s: status %d, want %d", test.outcome, test.reason, got, test.status)
		}
	}
}

func TestBadInputNeverReachesTheAdmitter(t *testing.T) {
	plain := func(target string, headers ...string) string { return raw("GET", target, "", headers...) }
	for name, test := range map[string]struct {
		raw    string
		reason outcome.Reason
		status int
		cut    bool
	}{
		"malformed JSON":   {chat("{"), outcome.BadRequest, 400, false},
		"trailing data":    {chat(validChat + "{}"), outcome.BadRequest, 400, false},
		"no model":         {chat(`{"messages":[{"role":"user"}]}`), outcome.BadRequest, 400, false},
		"no messages":      {chat(`{"model":"m"}`), outcome.BadRequest, 400, false},
		"no role":          {chat(`{"model":"m","messages":[{}]}`), outcome.BadRequest, 400, false},
		"zero tokens":      {chat(strings.Replace(validChat, ":7", ":0", 1)), outcome.BadRequest, 400, false},
		"many tokens":      {chat(strings.Replace(validChat, ":7", ":99999", 1)), outcome.BadRequest, 400, false},
		"priority":         {chat(strings.Replace(validChat, ":2", ":-1", 1)), outcome.BadRequest, 400, false},
		"large body":       {chat(strings.Repeat("x", 3_000_000)), outcome.BodyTooLarge, 413, false},
		"cut body":         {raw("POST", ChatPath, validChat)[:150], outcome.BodyTruncated, 400, true},
		"no body":          {"POST " + ChatPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n", outcome.BodyTruncated, 400, true},
		"cut chunk":        {"POST " + ChatPath + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", outcome.BodyTruncated, 400, true},
		"no last chunk":    {"POST " + ChatPath + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", outcome.BodyTruncated, 400, true},
		"cut head":         {"POST " + ChatPath + " HTTP/1.1\r\nHo", outcome.BadRequest, 400, true},
		"large head":       {chat(validChat, "X: "+strings.Repeat("x", 20_000)), outcome.BadRequest, 400, false},
		"basic scheme":     {chat(validChat, "Authorization: Basic eA=="), outcome.Unauthorized, 401, false},
		"two keys":         {chat(validChat, "Authorization: Bearer a", "Authorization: Bearer b"), outcome.BadRequest, 400, false},
		"two request keys": {chat(validChat, "Idempotency-Key: a", "Idempotency-Key: b"), outcome.BadRequest, 400, false},
		"empty key":        {chat(validChat, "Idempotency-Key:"), outcome.BadRequest, 400, false},
		"long key":         {chat(validChat, "Idempotency-Key: "+strings.Repeat("k", 256)), outcome.BadRequest, 400, false},
		"no time left":     {chat(validChat, "Mimosa-Timeout-Ms: 0"), outcome.DeadlineExpired, 408, false},
		"time not number":  {chat(validChat, "Mimosa-Timeout-Ms: 1s"), outcome.BadRequest, 400, false},
		"time too long":    {chat(validChat, "Mimosa-Timeout-Ms: 9000000000000000000"), outcome.BadRequest, 400, false},
		"unknown path":     {plain("/v1/other"), outcome.UnknownService, 404, false},
		"wrong method":     {plain(ChatPath), outcome.UnknownService, 404, false},
		"no service":       {plain("/v1/services/"), outcome.UnknownService, 404, false},
		"encoded slash":    {plain("/v1/services/s/a%2Fb"), outcome.BadRequest, 400, false},
		"climbing path":    {plain("/v1/services/../../x"), outcome.UnknownService, 404, false},
		"control in path":  {plain("/v1/services/s/a%0d%0ab"), outcome.BadRequest, 400, false},
		"trace":            {raw("TRACE", "/v1/services/s/a", ""), outcome.BadRequest, 400, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := startServer(t, nil)
			c := b.dial(t).send(test.raw)
			if test.cut {
				must(t, c.CloseWrite())
			}
			resp, body := c.readAnswer()
			d := detail(t, body)
			failIf(t, resp.StatusCode() != test.status || d.Reason != test.reason || d.Outcome != outcome.NotRun || d.RequestID != "r1", "%d %+v", resp.StatusCode(), d)
			if got := <-b.counted; got != test.reason || len(b.admitted) != 0 {
				t.Fatalf("counted %s, %d admitted", got, len(b.admitted))
			}
		})
	}
}

func TestAdmitterRefusalIsAnsweredAtOnce(t *testing.T) {
	b := startServer(t, nil)
	b.refusal = outcome.Refuse(outcome.Draining, "", time.Second)
	resp, body := b.dial(t).send(chat(validChat)).readAnswer()
	failIf(t, resp.StatusCode() != 503 || detail(t, body).Reason != outcome.Draining || len(b.counted) != 0, "%d %s", resp.StatusCode(), body)
}

func TestPlainCallAndAnswerPassAsTheyAre(t *testing.T) {
	b := startServer(t, nil)
	c := b.dial(t)
	c.send(raw("PUT", "/v1/services/book/a%20b/../c%253F?q=%201", "body", "Content-Type: multipart/form-data; boundary=x",
		"Authorization: Bearer secret", "Idempotency-Key: k", "Cookie: c=1"))
	a := <-b.admitted
	want := &call.PlainCall{
		Method: "PUT", Path: "/c%3F", Query: "q=%201", Body: []byte("body"),
		Header: [][2]string{{"Content-Type", "multipart/form-data; boundary=x"}},
	}
	if diff := cmp.Diff(want, a.call.Plain); diff != "" || a.call.Chat != nil {
		t.Fatal(diff)
	}
	failIf(t, a.arrived.Service != "book" || a.arrived.Method != "PUT" || a.arrived.Path != "/c%3F" || a.arrived.IdempotencyKey != "k", "%+v", a.arrived)
	a.call.SetAnswer(call.PlainAnswer{Status: 418, Header: [][2]string{{"Etag", "1"}}, Body: []byte("tea")})
	a.call.Finish(nil)
	resp, body := c.readAnswer()
	if resp.StatusCode() != 418 || body != "tea" || string(resp.Header.Peek("Etag")) != "1" || len(resp.Header.ContentType()) != 0 ||
		string(resp.Header.Peek(OutcomeHeader)) != "complete" {
		t.Fatalf("%s %s", &resp.Header, body)
	}
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
	b := startServer(t, nil)
	seen := map[string]string{}
	same := raw("POST", "/v1/services/s/a?q", "b")
	for _, r := range []string{
		same, raw("PUT", "/v1/services/s/a?q", "b"), raw("POST", "/v1/services/t/a?q", "b"),
		raw("POST", "/v1/services/s/b?q", "b"), raw("POST", "/v1/services/s/a?r", "b"), raw("POST", "/v1/services/s/a?q", "c"), chat(validChat),
	} {
		for range 2 {
			b.dial(t).send(r)
			a := <-b.admitted
			a.call.Finish(nil)
			if before, ok := seen[a.arrived.Fingerprint]; ok && before != r {
				t.Fatalf("%q and %q have the same fingerprint", before, r)
			}
			seen[a.arrived.Fingerprint] = r
		}
	}
	failIf(t, len(seen) != 7, "%d fingerprints of 7 requests sent twice", len(seen))
}

func TestCallerThatLeavesIsReportedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		raw    string
		tokens int
		reset  bool
	}{
		"waiting":        {chat(validChat), 0, false},
		"waiting, reset": {chat(validChat), 0, true},
		"first token":    {chat(streamChat), 0, false},
		"midstream":      {chat(streamChat), 1, false},
		"plain":          {raw("POST", "/v1/services/s/a", "b"), 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := startServer(t, nil)
			c := b.dial(t).send(test.raw)
			a := <-b.admitted
			for range test.tokens {
				push(t, a.call, "x")
				c.readHead()
			}
			if test.reset {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
			if id := <-b.gone; id != "r1" {
				t.Fatalf("request %s is reported gone", id)
			}
			for range 200 { // nobody reads the tokens, but Push must not block
				push(t, a.call, "y")
			}
			a.call.Finish(outcome.Refuse(outcome.CallerGone, "", 0))
			shutDown(t, b)
			if len(b.gone) != 0 {
				t.Fatal("the caller was reported gone twice")
			}
		})
	}
}

func TestPipelinedRequestsAreAnsweredInTurn(t *testing.T) {
	b := startServer(t, nil)
	c := b.dial(t).send(chat(validChat) + chat(validChat))
	for range 2 {
		a := <-b.admitted
		a.call.Finish(nil)
		if resp, _ := c.readAnswer(); resp.StatusCode() != 200 {
			t.Fatalf("status %d", resp.StatusCode())
		}
	}
}

func TestCallerWithUnreadBytesIsNotGone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	must(t, err)
	accepted, err := (&listener{Listener: l, gate: New(Options{}).gate}).Accept()
	must(t, err)
	c := accepted.(*conn)
	if c.isCallerGone() {
		t.Fatal("an idle caller counts as gone")
	}
	if _, err := client.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	one := make([]byte, 1)
	for range 2 {
		if _, err := c.Read(one); err != nil || c.isCallerGone() {
			t.Fatalf("%q, %v, gone %v", one, err, c.isCallerGone())
		}
	}
	_ = client.Close()
	for !c.isCallerGone() {
		runtime.Gosched()
	}
	_ = c.Close()
	if !c.isCallerGone() {
		t.Fatal("the caller of a closed connection does not count as gone")
	}
}

func shutDown(t *testing.T, b *testServer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	must(t, b.server.Shutdown(ctx))
}

func TestShutdownWaitsForOpenStreams(t *testing.T) {
	b := startServer(t, nil)
	c := b.dial(t).send(chat(streamChat))
	a := <-b.admitted
	push(t, a.call, "a")
	resp := c.readHead()
	done := make(chan error, 1)
	go func() { done <- b.server.Shutdown(t.Context()) }()
	must(t, <-b.served)
	push(t, a.call, "b")
	readEvents(t, resp.BodyStream().Read, 2)
	select {
	case err := <-done:
		t.Fatalf("shut down during an open stream: %v", err)
	default:
	}
	a.call.Finish(nil)
	if events := readEvents(t, resp.BodyStream().Read, 2); events[1] != "data: [DONE]" {
		t.Fatalf("%q", events)
	}
	must(t, <-done)
}
