package upstream

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

func TestModelAnswerContinuesAfterDeliveredTokens(t *testing.T) {
	f := newFake(t, respond(streamHead, tokChunk(tok(2)), tokChunk(tok(1)), doneChunk(3)))
	c := chatCall()
	must(t, c.Push(t.Context(), engineapi.Token{Index: 0, Text: "t0"}))
	s := &sink{}
	send := modelSend(f.address)
	e := runOne(t, t.Context(), New(Options{}), send, c, s)
	failIf(t, e.Phase != outcome.Finished || e.Reason != "" || e.Tokens != 3, "end %+v", e)
	failIf(t, len(s.started) != 1 || s.started[0].Epoch != "e1" || c.FinishReason() != engineapi.FinishLength, "starts %+v, finish %q", s.started, c.FinishReason())
	equal(t, []string{"t0", "t1", "t2"}, c.Delivered())
	req := f.first()
	var got engineapi.ChatRequest
	must(t, json.Unmarshal(req.Body(), &got))
	want := engineapi.ChatRequest{
		Model: "m", Messages: c.Chat.Messages, MaxTokens: 8, Stream: true, Priority: 3, Request: "r1",
		Attempt: 2, Chain: stages(send.Chain), Delivered: []string{"t0"}, DeadlineMs: 1000,
	}
	if diff := cmp.Diff(want, got); diff != "" || string(req.Header.RequestURI()) != engineapi.ChatPath {
		t.Fatalf("%s %s", req.Header.RequestURI(), diff)
	}
}

func editedTokChunk(index int, edit func(*engineapi.Token)) string {
	t := tok(index)
	edit(&t)
	return tokChunk(t)
}

func streamErr(e engineapi.StreamError) string {
	return chunk("event: error\ndata: " + asJSON(e) + "\n\n")
}

func TestModelEnds(t *testing.T) {
	cut := tokChunk(tok(1))
	for name, test := range map[string]struct {
		script   script
		phase    outcome.Phase
		reason   outcome.Reason
		upstream ids.Upstream
		tokens   int
		retry    time.Duration
	}{
		"busy":               {respond(refusal(503, engineapi.Refusal{Code: engineapi.CodeBusy, RetryAfterMs: 70})), outcome.Refused, outcome.UpstreamBusy, "e1", 0, 70 * time.Millisecond},
		"leaving":            {respond(refusal(503, engineapi.Refusal{Code: engineapi.CodeLeaving})), outcome.Refused, outcome.UpstreamRefused, "e1", 0, 0},
		"no refusal":         {respond("HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}"), outcome.MaybeSent, outcome.UpstreamInvalid, "e1", 0, 0},
		"refusal cut":        {respond("HTTP/1.1 503 X\r\nContent-Length: 99\r\n\r\n{\"code\":\"busy\"}"), outcome.MaybeSent, outcome.UpstreamLost, "e1", 0, 0},
		"refusal unbounded":  {respond("HTTP/1.1 503 X\r\n\r\n{\"code\":\"busy\"}"), outcome.MaybeSent, outcome.UpstreamLost, "e1", 0, 0},
		"closed after read":  {respond(), outcome.MaybeSent, outcome.UpstreamLost, "e1", 0, 0},
		"half a head":        {respond("HTTP/1.1 200 OK\r\nConten"), outcome.MaybeSent, outcome.UpstreamLost, "e1", 0, 0},
		"not HTTP":           {respond("hello\r\n\r\n"), outcome.MaybeSent, outcome.UpstreamInvalid, "e1", 0, 0},
		"other attempt":      {respond("HTTP/1.1 200 OK\r\nMimosa-Attempt: 1\r\n\r\n"), outcome.MaybeSent, outcome.UpstreamInvalid, "e1", 0, 0},
		"closed after start": {respond(streamHead), outcome.Started, outcome.UpstreamLost, "e1", 0, 0},
		"no end marker":      {respond(streamHead, tokChunk(tok(0)), lastChunk), outcome.Started, outcome.UpstreamLost, "e1", 1, 0},
		"cut in a chunk":     {respond(streamHead, tokChunk(tok(0)), cut[:len(cut)-9]), outcome.Started, outcome.UpstreamLost, "e1", 1, 0},
		"cut in an event":    {respond(streamHead, chunk("data: "+asJSON(tok(0))+"\n"), lastChunk), outcome.Started, outcome.UpstreamLost, "e1", 0, 0},
		"bad chunk":          {respond(streamHead, "zz\r\n"), outcome.Started, outcome.UpstreamInvalid, "e1", 0, 0},
		"nonsense":           {respond(streamHead, chunk("data: {]\n\n")), outcome.Started, outcome.UpstreamInvalid, "e1", 0, 0},
		"wrong id":           {respond(streamHead, chunk("id: 4\ndata: "+asJSON(tok(0))+"\n\n")), outcome.Started, outcome.UpstreamInvalid, "e1", 0, 0},
		"large event":        {respond(streamHead, chunk("data: "+strings.Repeat("x", 5000)+"\n\n")), outcome.Started, outcome.UpstreamInvalid, "e1", 0, 0},
		"too many tokens":    {respond(streamHead, tokChunk(tok(8))), outcome.Started, outcome.UpstreamInvalid, "e1", 0, 0},
		"wrong engine":       {respond(streamHead, tokChunk(tok(0)), editedTokChunk(1, func(t *engineapi.Token) { t.Steps[1].Engine = "e3" })), outcome.Started, outcome.LedgerViolation, "e1", 1, 0},
		"missing layer":      {respond(streamHead, editedTokChunk(0, func(t *engineapi.Token) { t.Steps[1].First = 5 })), outcome.Started, outcome.LedgerViolation, "e2", 0, 0},
		"repeated":           {respond(streamHead, tokChunk(tok(0)), tokChunk(tok(0))), outcome.Started, outcome.LedgerViolation, "e1", 1, 0},
		"gap at the end":     {respond(streamHead, tokChunk(tok(1)), doneChunk(2)), outcome.Started, outcome.LedgerViolation, "e1", 0, 0},
		"wrong count":        {respond(streamHead, tokChunk(tok(0)), doneChunk(2)), outcome.Started, outcome.LedgerViolation, "e1", 1, 0},
		"late token":         {respond(streamHead, editedTokChunk(0, func(t *engineapi.Token) { t.Attempt = 1; t.Text = "old" }), tokChunk(tok(0)), doneChunk(1)), outcome.Finished, "", "e1", 1, 0},
		"late end":           {respond(streamHead, chunk("event: done\ndata: {\"attempt\":1}\n\n"), lastChunk), outcome.Started, outcome.UpstreamLost, "e1", 0, 0},
		"stage failed":       {respond(streamHead, tokChunk(tok(0)), streamErr(engineapi.StreamError{Attempt: 2, Code: engineapi.CodeStageFailed, Engine: "e2"})), outcome.Started, outcome.StageFailed, "e2", 1, 0},
		"stranger blamed":    {respond(streamHead, streamErr(engineapi.StreamError{Attempt: 2, Code: engineapi.CodeLinkFailed, Engine: "e9"})), outcome.Started, outcome.StageFailed, "e1", 0, 0},
		"late stream error":  {respond(streamHead, streamErr(engineapi.StreamError{Attempt: 1, Code: engineapi.CodeStageFailed}), tokChunk(tok(0)), doneChunk(1)), outcome.Finished, "", "e1", 1, 0},
		"interim answer":     {respond("HTTP/1.1 103 X\r\n\r\n", streamHead, doneChunk(0)), outcome.Finished, "", "e1", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, test.script)
			c := chatCall()
			s := &sink{}
			e := runOne(t, t.Context(), New(Options{MaxEventBytes: 4096}), modelSend(f.address), c, s)
			failIf(t, e.Phase != test.phase || e.Reason != test.reason || e.Upstream != test.upstream || e.Tokens != test.tokens || e.RetryAfter != test.retry, "end %+v", e)
			if started := len(s.started) == 1; started != (test.phase >= outcome.Started) {
				t.Fatalf("AttemptStarted was reported: %v, but the attempt ended in phase %v", started, e.Phase)
			}
			if conns, requests := f.counts(); conns != 1 || requests != 1 {
				t.Fatalf("%d connections, %d requests", conns, requests)
			}
			for _, text := range c.Delivered() {
				if text == "old" {
					t.Fatal("a token of an earlier attempt was delivered")
				}
			}
		})
	}
}

func TestUpstreamThatClosesAtOnceIsCalledOnce(t *testing.T) {
	for _, plain := range []bool{false, true} {
		f := startFake(t, respond(), true)
		send, c := modelSend(f.address), chatCall()
		if plain {
			send, c = plainSend(f.address), plainCall("GET", "/slots", "")
		}
		e := runOne(t, t.Context(), New(Options{}), send, c, &sink{})
		failIf(t, e.Phase != outcome.MaybeSent || e.Reason != outcome.UpstreamLost, "end %+v", e)
		if conns, _ := f.counts(); conns != 1 {
			t.Fatalf("%d connections, want 1", conns)
		}
	}
}

// refusingAddress returns an address that refuses connections. Its port stays bound until the end of
// the test, so that no other process listens on it.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	must(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	must(t, err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

func TestFailedDialProvesNotSent(t *testing.T) {
	closed := refusingAddress(t)
	f := newFake(t, respond())
	named := strings.Replace(f.address, "127.0.0.1", "localhost", 1)
	for _, address := range []string{closed, named, ""} {
		e := runOne(t, t.Context(), New(Options{}), modelSend(address), chatCall(), &sink{})
		failIf(t, e.Phase != outcome.NotSent || e.Reason != outcome.ConnectFailed, "%q: end %+v", address, e)
	}
	over := &sink{}
	New(Options{}).Run(t.Context(), modelSend(f.address), nil, over)
	failIf(t, len(over.ended) != 1 || over.ended[0].Phase != outcome.NotSent, "call that is over: %+v", over.ended)
	conns, _ := f.counts()
	failIf(t, conns != 0, "%d connections for a name and for a call that is over", conns)
	send := modelSend(closed)
	send.Resume = &router.Resume{Request: "r0", Attempt: 1}
	if e := runOne(t, t.Context(), New(Options{}), send, chatCall(), &sink{}); e.Phase != outcome.MaybeSent {
		t.Fatalf("a rejoin that failed to connect ended in phase %v, want maybe_sent", e.Phase)
	}
	if e := runOne(t, t.Context(), New(Options{}), router.Send{ID: "r1", Model: true}, chatCall(), &sink{}); e.Phase != outcome.NotSent || e.Reason != outcome.NoUpstream {
		t.Fatalf("empty chain: end %+v", e)
	}
}

func TestStalls(t *testing.T) {
	trickle := func(conn net.Conn, _ *fasthttp.Request) {
		for s := streamHead; ; s = chunk(": still here\n\n") {
			if _, err := conn.Write([]byte(s)); err != nil {
				return
			}
		}
	}
	silent := func(parts ...string) script {
		return func(conn net.Conn, req *fasthttp.Request) {
			respond(parts...)(conn, req)
			_, _ = conn.Read(make([]byte, 1)) // until the client closes the connection
		}
	}
	for name, test := range map[string]struct {
		script script
		phase  outcome.Phase
	}{
		"no head":       {silent(), outcome.MaybeSent},
		"no token":      {silent(streamHead), outcome.Started},
		"no next":       {silent(streamHead, tokChunk(tok(0))), outcome.Started},
		"only comments": {trickle, outcome.Started},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, test.script)
			send := modelSend(f.address)
			send.StallAfter = 50 * time.Millisecond
			e := runOne(t, t.Context(), New(Options{}), send, chatCall(), &sink{})
			failIf(t, e.Phase != test.phase || e.Reason != outcome.UpstreamStalled, "end %+v", e)
		})
	}
}

// runPacedStream reads a stream whose events arrive 3 s apart on a fake clock. It
// returns the failure, if any, and the time taken.
func runPacedStream(t *testing.T, stallTimeout time.Duration, events ...string) (f *failure, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		var writer sync.WaitGroup
		writer.Go(func() {
			defer far.Close()
			for _, e := range events {
				<-time.After(3 * time.Second)
				if _, err := far.Write([]byte(e)); err != nil {
					return
				}
			}
		})
		defer writer.Wait()
		defer near.Close()
		c := chatCall()
		defer c.Finish(nil)
		a := &attempt{runner: New(Options{}), send: modelSend(""), call: c, sink: &sink{}}
		l := &stallConn{Conn: near, stallTimeout: stallTimeout}
		before := time.Now()
		f = a.readStream(t.Context(), l, l, a.newLedger())
		took = time.Since(before)
	})
	return f, took
}

func TestOnlyAcceptedTokensAreProgress(t *testing.T) {
	event := func(edit func(*engineapi.Token), index int) string {
		tk := tok(index)
		edit(&tk)
		return "data: " + asJSON(tk) + "\n\n"
	}
	fresh, stale := func(*engineapi.Token) {}, func(tk *engineapi.Token) { tk.Attempt = 1 }
	done := "event: done\ndata: " + asJSON(engineapi.Done{Attempt: 2, Tokens: 3}) + "\n\n"
	f, took := runPacedStream(t, 5*time.Second, event(fresh, 0), event(fresh, 1), event(fresh, 2), done)
	failIf(t, f != nil || took != 12*time.Second, "tokens 3s apart: %+v after %v", f, took)
	f, took = runPacedStream(t, 5*time.Second, event(fresh, 0), event(stale, 1), event(stale, 2), ": comment\n\n")
	failIf(t, f == nil || f.reason != outcome.UpstreamStalled || took != 8*time.Second, "stale tokens: %+v after %v", f, took)
}
