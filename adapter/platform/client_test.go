package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/platformapi"
)

// fakePlatform is a platform that responds to each request with a function. If the
// function returns false, it closes the connection without a response.
type fakePlatform struct {
	requests, connections atomic.Int64
	respond               func(n int64, req *fasthttp.Request, resp *fasthttp.Response) bool
}

// serve starts the platform and returns a client for it.
func (p *fakePlatform) serve(t *testing.T) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.connections.Add(1)
			go p.handle(conn)
		}
	}()
	return newClient(t, listener.Addr().String())
}

// handle responds to the requests on one connection.
func (p *fakePlatform) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		var resp fasthttp.Response
		if req.Read(r) != nil || !p.respond(p.requests.Add(1), &req, &resp) {
			return
		}
		w := bufio.NewWriter(conn)
		if resp.Write(w) != nil || w.Flush() != nil {
			return
		}
	}
}

func newClient(t *testing.T, address string) *Client {
	t.Helper()
	c, err := New(Settings{Addresses: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// alwaysRespond returns a platform that responds to every request with the same
// status and body.
func alwaysRespond(status int, body string) *fakePlatform {
	return &fakePlatform{respond: func(_ int64, _ *fasthttp.Request, resp *fasthttp.Response) bool {
		resp.SetStatusCode(status)
		resp.SetBodyString(body)
		return true
	}}
}

const objectBody = `{"key":"config/profile/a b","version":7,"value":"eA=="}`

func TestCallsCarryTheirArguments(t *testing.T) {
	var got []string
	server := &fakePlatform{respond: func(_ int64, req *fasthttp.Request, resp *fasthttp.Response) bool {
		line := string(req.Header.Method()) + " " + string(req.RequestURI()) + " " + string(req.Header.Peek("If-Match")) + " " + string(req.Body())
		got = append(got, line)
		resp.SetBodyString(objectBody)
		if !strings.HasPrefix(string(req.RequestURI()), platformapi.ObjectsPath) {
			resp.SetBodyString(`{"revision":9,"objects":[` + objectBody + `]}`)
		}
		return true
	}}
	c := server.serve(t)
	ctx := context.Background()
	want := platformapi.Object{Key: "config/profile/a b", Version: 7, Value: []byte("x")}
	read, err1 := c.Get(ctx, want.Key)
	written, err2 := c.Put(ctx, want.Key, []byte("x"), 6)
	deleted, err3 := c.Delete(ctx, want.Key, 6)
	list, err4 := c.List(ctx, "config/")
	changes, err5 := c.Watch(ctx, "config/", 8, 1500*time.Millisecond)
	vms, err6 := c.VMs(ctx, 0)
	if err := errors.Join(err1, err2, err3, err4, err5, err6); err != nil {
		t.Fatal(err)
	}
	wantLines := []string{
		"GET /v1/objects/config/profile/a%20b  ",
		"PUT /v1/objects/config/profile/a%20b 6 x",
		"DELETE /v1/objects/config/profile/a%20b 6 ",
		"GET /v1/list?prefix=config%2F  ",
		"GET /v1/watch?after=8&prefix=config%2F&wait_ms=1500  ",
		"GET /v1/vms  ",
	}
	if diff := cmp.Diff(wantLines, got); diff != "" {
		t.Error(diff)
	}
	wantList := platformapi.ListReply{Revision: 9, Objects: []platformapi.Object{want}}
	if diff := cmp.Diff([]platformapi.Object{want, want, want}, []platformapi.Object{read, written, deleted}); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]platformapi.ListReply{wantList, wantList}, []platformapi.ListReply{list, changes}); diff != "" {
		t.Error(diff)
	}
	if vms.Revision != 9 || server.connections.Load() != 1 {
		t.Errorf("revision %d over %d connections", vms.Revision, server.connections.Load())
	}
}

func TestAnswersBecomeTypedErrors(t *testing.T) {
	const key = "config/profile/a b"
	conflictBody := `{"key":"config/profile/a b","version":8,"value":"eQ=="}`
	newer := platformapi.Object{Key: key, Version: 8, Value: []byte("y")}
	cases := []struct {
		status int
		body   string
		get    error
		put    error
	}{
		{412, conflictBody, &RefusedError{KindGet, 412}, &ConflictError{newer}},
		{412, "", &RefusedError{KindGet, 412}, &ConflictError{platformapi.Object{Key: key, Version: UnknownVersion}}},
		{404, "", &NotFoundError{key}, &RefusedError{KindPut, 404}},
		{413, "", &TooLargeError{KindGet, 0}, &TooLargeError{KindPut, 1}},
		{429, "", &UnavailableError{Kind: KindGet, Status: 429}, &UnavailableError{Kind: KindPut, Status: 429}},
		{503, "", &UnavailableError{Kind: KindGet, Status: 503}, &UnavailableError{Kind: KindPut, Status: 503, MayHaveTakenEffect: true}},
		{200, `{"key":"other","version":9}`, &InvalidError{Kind: KindGet, Detail: "object other instead of " + key}, &InvalidError{Kind: KindPut, Detail: "object other instead of " + key}},
		{200, objectBody, nil, &InvalidError{Kind: KindPut, Detail: "version 7"}},
	}
	for _, tc := range cases {
		c := alwaysRespond(tc.status, tc.body).serve(t)
		_, err := c.Get(context.Background(), key)
		if diff := cmp.Diff(tc.get, err); diff != "" {
			t.Errorf("%d get: %s", tc.status, diff)
		}
		_, err = c.Put(context.Background(), key, []byte("x"), 7)
		if diff := cmp.Diff(tc.put, err); diff != "" {
			t.Errorf("%d put: %s", tc.status, diff)
		}
	}
	var invalid *InvalidError
	if _, err := alwaysRespond(200, "{").serve(t).Get(context.Background(), key); !errors.As(err, &invalid) {
		t.Errorf("got %v, want an *InvalidError", err)
	}
	var large *TooLargeError
	c := alwaysRespond(200, objectBody).serve(t)
	if _, err := c.Put(context.Background(), key, make([]byte, platformapi.MaxValueBytes+1), 0); !errors.As(err, &large) {
		t.Errorf("got %v, want a *TooLargeError", err)
	}
}

func TestNoCallIsSentAgain(t *testing.T) {
	server := &fakePlatform{respond: func(n int64, _ *fasthttp.Request, resp *fasthttp.Response) bool {
		resp.SetBodyString(objectBody)
		return n == 1
	}}
	var kinds []Kind
	c := server.serve(t)
	c.settings.OnCall = func(kind Kind, _ error) { kinds = append(kinds, kind) }
	ctx := context.Background()
	if _, err := c.Get(ctx, "config/profile/a b"); err != nil {
		t.Fatal(err)
	}
	// Request 2 uses the idle connection and request 3 a new one; both are closed
	// without a response.
	for n := int64(2); n <= 3; n++ {
		_, err := c.Put(ctx, "k", []byte("x"), 0)
		if !MayHaveTakenEffect(err) || server.requests.Load() != n {
			t.Errorf("error %v after %d requests, want a write of unknown effect after %d", err, server.requests.Load(), n)
		}
	}
	var unavailable *UnavailableError
	_, err := c.Get(ctx, "k")
	if !errors.As(err, &unavailable) || unavailable.MayHaveTakenEffect || server.requests.Load() != 4 {
		t.Errorf("error %v after %d requests, want an *UnavailableError without effect after 4", err, server.requests.Load())
	}
	if diff := cmp.Diff([]Kind{KindGet, KindPut, KindPut, KindGet}, kinds); diff != "" {
		t.Error(diff)
	}
}

func TestRefusedConnectionHadNoEffect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = newClient(t, address).Put(context.Background(), "k", nil, 0)
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || unavailable.MayHaveTakenEffect {
		t.Errorf("got %v, want an *UnavailableError without effect", err)
	}
}

func TestAbandonedAnswerReachesNoOtherCall(t *testing.T) {
	abandoned := make(chan struct{})
	arrived := make(chan struct{})
	server := &fakePlatform{}
	server.respond = func(n int64, _ *fasthttp.Request, resp *fasthttp.Response) bool {
		resp.SetBodyString(objectBody)
		if n == 1 {
			close(arrived)
			<-abandoned
			resp.SetBodyString(`{"key":"config/profile/a b","version":1,"value":""}`)
		}
		return true
	}
	c := server.serve(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := c.Get(ctx, "config/profile/a b")
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want context.Canceled", err)
	}
	close(abandoned)
	object, err := c.Get(context.Background(), "config/profile/a b")
	if err != nil || object.Version != 7 || server.connections.Load() != 2 {
		t.Errorf("got version %d, %v over %d connections", object.Version, err, server.connections.Load())
	}
}

func TestTimedOutCallClosesIdleConnections(t *testing.T) {
	const kept = 3
	var together sync.WaitGroup
	together.Add(kept)
	server := &fakePlatform{}
	silence := make(chan struct{})
	t.Cleanup(func() { close(silence) })
	server.respond = func(n int64, _ *fasthttp.Request, resp *fasthttp.Response) bool {
		resp.SetBodyString(objectBody)
		if n <= kept {
			together.Done()
			together.Wait()
		}
		if n > kept && server.connections.Load() == kept {
			<-silence
		}
		return true
	}
	c := server.serve(t)
	var calls sync.WaitGroup
	for range kept {
		calls.Go(func() { _, _ = c.Get(context.Background(), "config/profile/a b") })
	}
	calls.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := c.Get(ctx, "config/profile/a b")
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want context.DeadlineExceeded", err)
	}
	if _, err := c.Get(context.Background(), "config/profile/a b"); err != nil || server.connections.Load() != kept+1 {
		t.Errorf("got %v over %d connections", err, server.connections.Load())
	}
}

func TestNewRefusesHostNames(t *testing.T) {
	for _, addresses := range [][]string{nil, {"localhost:80"}, {"127.0.0.1:80", "127.0.0.1"}} {
		var address *AddressError
		if _, err := New(Settings{Addresses: addresses}); !errors.As(err, &address) {
			t.Errorf("%v: got %v, want an *AddressError", addresses, err)
		}
	}
}
