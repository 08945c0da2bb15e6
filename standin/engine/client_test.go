package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
)

// client makes one attempt at each call and streams answers.
var client = &fasthttp.Client{
	StreamResponseBody: true,
	RetryIfErr:         func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
}

// startEngine starts an engine that is closed with the test.
func startEngine(t *testing.T, cfg Config) *Engine {
	t.Helper()
	e, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// startChain starts head, mid and tail of a model of 12 layers.
func startChain(t *testing.T, head Config) (engines []*Engine, chain []engineapi.Stage) {
	t.Helper()
	head.ID, head.Layers, head.First, head.Last = "head", 12, 0, 3
	configs := []Config{
		head,
		{ID: "mid", Layers: 12, First: 4, Last: 8, Rate: 1e5, Links: []Link{{To: "tail", Rate: 1e5}}},
		{ID: "tail", Layers: 12, First: 9, Last: 11, Rate: 1e5},
	}
	for _, cfg := range configs {
		e := startEngine(t, cfg)
		engines = append(engines, e)
		chain = append(chain, engineapi.Stage{Engine: cfg.ID, Address: e.Addr(), First: cfg.First, Last: cfg.Last})
	}
	return engines, chain
}

// chatOf makes a request for n tokens.
func chatOf(request string, n int, chain []engineapi.Stage) engineapi.ChatRequest {
	return engineapi.ChatRequest{
		Messages:  []engineapi.Message{{Role: "user", Content: "which teacher " + request}},
		MaxTokens: n,
		Stream:    true,
		Request:   request,
		Attempt:   1,
		Chain:     chain,
	}
}

// call makes one call; the header's key may be empty.
func call(t *testing.T, e *Engine, method, path string, body any, key, value string) (*fasthttp.Response, error) {
	t.Helper()
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + e.Addr() + path)
	req.Header.SetMethod(method)
	if key != "" {
		req.Header.Set(key, value)
	}
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		req.SetBody(raw)
	}
	resp := &fasthttp.Response{}
	if err := client.Do(req, resp); err != nil {
		return nil, err
	}
	if got := string(resp.Header.Peek(engineapi.EpochHeader)); got != e.Epoch() {
		t.Errorf("%s %s: epoch %q, want %q", method, path, got, e.Epoch())
	}
	return resp, nil
}

// decode reads an answer's JSON and checks its status.
func decode[T any](t *testing.T, resp *fasthttp.Response, err error, status int) T {
	t.Helper()
	var out T
	if err != nil {
		t.Fatal(err)
	}
	body := read(t, resp)
	if resp.StatusCode() != status {
		t.Fatalf("status %d, want %d: %s", resp.StatusCode(), status, body)
	}
	if err := json.Unmarshal(body, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// read reads a whole body.
func read(t *testing.T, resp *fasthttp.Response) []byte {
	t.Helper()
	if resp.BodyStream() == nil {
		return resp.Body()
	}
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// stream is what came of one stream.
type stream struct {
	tokens []engineapi.Token
	// garbled counts the events that could not be read.
	garbled int
	done    *engineapi.Done
	err     *engineapi.StreamError
	scanner *bufio.Scanner
}

// open starts to read a stream.
func open(t *testing.T, resp *fasthttp.Response, err error) *stream {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("status %d: %s", resp.StatusCode(), read(t, resp))
	}
	return &stream{scanner: bufio.NewScanner(resp.BodyStream())}
}

// next reads one event; false at the end.
func (s *stream) next() bool {
	name, id := "", -1
	for s.scanner.Scan() {
		key, value, _ := strings.Cut(s.scanner.Text(), ": ")
		switch key {
		case "event":
			name = value
		case "id":
			id, _ = strconv.Atoi(value)
		case "data":
			s.take(name, id, []byte(value))
		case "":
			return true
		}
	}
	return false
}

// take keeps one event.
func (s *stream) take(name string, id int, data []byte) {
	var token engineapi.Token
	var err error
	switch name {
	case engineapi.DoneEvent:
		err = json.Unmarshal(data, &s.done)
	case engineapi.ErrorEvent:
		err = json.Unmarshal(data, &s.err)
	default:
		err = json.Unmarshal(data, &token)
		if err == nil && token.Index == id {
			s.tokens = append(s.tokens, token)
			return
		}
		s.garbled++
	}
	if err != nil {
		s.garbled++
	}
}

// all reads a stream to its end.
func (s *stream) all() *stream {
	for s.next() {
	}
	return s
}

// text joins the texts of the tokens.
func (s *stream) text() string {
	var b strings.Builder
	for _, token := range s.tokens {
		b.WriteString(token.Text)
	}
	return b.String()
}

// chat starts a request and gives its stream.
func chat(t *testing.T, e *Engine, req engineapi.ChatRequest) *stream {
	t.Helper()
	resp, err := call(t, e, fasthttp.MethodPost, engineapi.ChatPath, req, "", "")
	return open(t, resp, err)
}

// rejoin gives the stream of a request after an index.
func rejoin(t *testing.T, e *Engine, request string, after int) *stream {
	t.Helper()
	resp, err := call(t, e, fasthttp.MethodGet, engineapi.StreamsPath+request, nil, engineapi.LastEventID, strconv.Itoa(after))
	return open(t, resp, err)
}

// cancel cancels a request.
func cancel(t *testing.T, e *Engine, request string) engineapi.CancelReply {
	t.Helper()
	resp, err := call(t, e, fasthttp.MethodDelete, engineapi.StreamsPath+request, nil, "", "")
	return decode[engineapi.CancelReply](t, resp, err, fasthttp.StatusOK)
}

// control changes how an engine works.
func control(t *testing.T, e *Engine, c Control) {
	t.Helper()
	resp, err := call(t, e, fasthttp.MethodPost, ControlPath, c, "", "")
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("control: %v, %v", resp, err)
	}
}
