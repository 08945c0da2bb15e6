package platform

import (
	"bytes"
	"encoding/json"
	"runtime"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/standin/control"
)

// client does not retry calls.
var client = &fasthttp.Client{
	RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
}

// start starts a stand-in and closes it at the end of the test.
func start(t *testing.T) *Platform {
	t.Helper()
	p, err := Start(Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// call makes one call. A negative ifMatch sends no condition. The status is zero if
// there was no response.
func call(p *Platform, method, path string, body []byte, ifMatch int64) (status int, reply []byte) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + p.Addr() + path)
	req.Header.SetMethod(method)
	if ifMatch >= 0 {
		req.Header.Set(platformapi.IfMatch, strconv.FormatInt(ifMatch, 10))
	}
	req.SetBody(body)
	if err := client.Do(req, resp); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), resp.Body()
}

// put writes the object config/k and returns the status and object of the response.
func put(p *Platform, value string, ifMatch int64) (int, platformapi.Object) {
	var object platformapi.Object
	status, body := call(p, fasthttp.MethodPut, platformapi.ObjectsPath+"config/k", []byte(value), ifMatch)
	_ = json.Unmarshal(body, &object)
	return status, object
}

// set sets the mode over HTTP.
func set(t *testing.T, p *Platform, c Control) {
	t.Helper()
	if err := control.Post(p.Addr(), c); err != nil {
		t.Fatal(err)
	}
}

func TestObjectsOverHTTP(t *testing.T) {
	p := start(t)
	const path = platformapi.ObjectsPath + "config/k"
	if status, object := put(p, "one", 0); status != 200 || object.Version != 1 {
		t.Errorf("create: %d %+v", status, object)
	}
	status, object := put(p, "two", 0)
	if want := (platformapi.Object{Key: "config/k", Version: 1, Value: []byte("one")}); status != 412 || !cmp.Equal(object, want) {
		t.Errorf("conflict: %d %+v", status, object)
	}
	if status, body := call(p, fasthttp.MethodGet, path, nil, -1); status != 200 || !bytes.Contains(body, []byte(`"version":1`)) {
		t.Errorf("get: %d %s", status, body)
	}
	if status, _ := call(p, fasthttp.MethodPut, path, make([]byte, platformapi.MaxValueBytes+1), -1); status != 413 {
		t.Errorf("too large: %d", status)
	}
	if status, _ := call(p, fasthttp.MethodDelete, path, nil, 1); status != 200 {
		t.Errorf("delete: %d", status)
	}
	if status, _ := call(p, fasthttp.MethodGet, path, nil, -1); status != 404 {
		t.Errorf("get deleted: %d", status)
	}
	var stats Stats
	if err := control.Get(p.Addr(), StatsPath, &stats); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Stats{Reads: 2, Writes: 4, Conflicts: 1}, stats); diff != "" {
		t.Error(diff)
	}
}

// watch starts a watch in the background and delivers its reply, or nil if there was
// none.
func watch(p *Platform, prefix string, after, waitMs int) <-chan *platformapi.ListReply {
	out := make(chan *platformapi.ListReply, 1)
	path := platformapi.WatchPath + "?prefix=" + prefix + "&after=" + strconv.Itoa(after) + "&wait_ms=" + strconv.Itoa(waitMs)
	go func() {
		var reply *platformapi.ListReply
		if status, body := call(p, fasthttp.MethodGet, path, nil, -1); status == 200 {
			_ = json.Unmarshal(body, &reply)
		}
		out <- reply
	}()
	return out
}

// awaitWatches blocks until exactly n watches wait for changes.
func awaitWatches(p *Platform, n int) {
	for waiting := -1; waiting != n; {
		p.store.mu.Lock()
		waiting = len(p.store.watchers)
		p.store.mu.Unlock()
		runtime.Gosched()
	}
}

func TestWatch(t *testing.T) {
	p := start(t)
	if reply := <-watch(p, "config/", 0, 1); reply == nil || len(reply.Objects) != 0 {
		t.Errorf("idle watch gave %+v", reply)
	}
	waiting := watch(p, "config/", 0, 60000)
	awaitWatches(p, 1)
	p.Put("other", nil)
	p.Put("config/k", []byte("v"))
	reply := <-waiting
	if reply == nil || len(reply.Objects) != 1 || reply.Objects[0].Key != "config/k" || reply.Revision != 2 {
		t.Errorf("watch gave %+v", reply)
	}
	call(p, fasthttp.MethodDelete, platformapi.ObjectsPath+"config/k", nil, -1)
	if reply := <-watch(p, "config/", 2, 60000); reply == nil || len(reply.Objects) != 1 || !reply.Objects[0].Deleted {
		t.Errorf("watch of a delete gave %+v", reply)
	}
}

func TestModes(t *testing.T) {
	p := start(t)
	put(p, "one", 0)

	set(t, p, Control{Mode: ModeLoseAnswers, Count: 1})
	if status, _ := call(p, fasthttp.MethodGet, platformapi.VMsPath, nil, -1); status != 200 {
		t.Errorf("a read lost its answer: %d", status)
	}
	if status, _ := put(p, "two", 1); status != 0 {
		t.Errorf("lost answer: status %d", status)
	}
	if object, _ := p.Object("config/k"); string(object.Value) != "two" {
		t.Errorf("the write had no effect: %+v", object)
	}
	if status, _ := put(p, "three", 2); status != 200 {
		t.Errorf("after the count: %d", status)
	}

	waiting := watch(p, "config/", 3, 60000)
	awaitWatches(p, 1)
	set(t, p, Control{Mode: ModeDown})
	if reply := <-waiting; reply != nil {
		t.Errorf("watch in an outage gave %+v", reply)
	}
	if status, _ := put(p, "four", -1); status != 0 {
		t.Errorf("outage: status %d", status)
	}
	set(t, p, Control{Mode: ModeHang, Method: fasthttp.MethodPut})
	hung := make(chan int)
	go func() {
		status, _ := put(p, "five", -1)
		hung <- status
	}()
	for p.Stats().Dropped < 2 {
		if status, _ := call(p, fasthttp.MethodGet, platformapi.VMsPath, nil, -1); status != 200 {
			t.Errorf("read while writes hang: %d", status)
		}
	}
	set(t, p, Control{Mode: ModeSlow, DelayMs: 1})
	if status := <-hung; status != 0 {
		t.Errorf("hanging call: status %d", status)
	}
	if object, _ := p.Object("config/k"); string(object.Value) != "three" {
		t.Errorf("calls that were dropped had an effect: %+v", object)
	}
	if status, _ := put(p, "six", 3); status != 200 {
		t.Errorf("slow call: %d", status)
	}
	if err := control.Post(p.Addr(), Control{Mode: "odd"}); err == nil {
		t.Error("unknown mode taken")
	}
}

func TestSlowDelaysTheEffect(t *testing.T) {
	p := start(t)
	set(t, p, Control{Mode: ModeSlow, DelayMs: 3600000, Count: 1})
	status := make(chan int)
	go func() {
		got, _ := put(p, "late", -1)
		status <- got
	}()
	for delayed := false; !delayed; runtime.Gosched() {
		p.faults.mu.Lock()
		delayed = p.faults.control.Mode == ModeUp
		p.faults.mu.Unlock()
	}
	for range 20 {
		if got, _ := call(p, fasthttp.MethodGet, platformapi.ObjectsPath+"config/k", nil, -1); got != 404 {
			t.Fatalf("status %d during the delay, want 404", got)
		}
	}
	p.Close()
	if got := <-status; got != 0 {
		t.Errorf("status %d after the end", got)
	}
}

func TestVMsOverHTTP(t *testing.T) {
	p := start(t)
	want := []platformapi.VM{{ID: "e1", Address: "127.0.0.1:1", Zone: "szeged-a", Role: platformapi.RoleEngine, State: platformapi.StateLeaving, Service: "mimosa-drafts"}}
	if err := control.Put(p.Addr(), VMsControlPath, VMsControl{VMs: want}); err != nil {
		t.Fatal(err)
	}
	var got platformapi.VMList
	if err := control.Get(p.Addr(), platformapi.VMsPath, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(platformapi.VMList{Revision: 2, VMs: want}, got); diff != "" {
		t.Error(diff)
	}
}

func TestUnchangedVMListComesWithoutVMs(t *testing.T) {
	var l vmList
	l.set(VMsControl{VMs: []platformapi.VM{{ID: "a"}}})
	l.set(VMsControl{VMs: []platformapi.VM{{ID: "b"}}})
	for after, want := range map[int64]int{0: 1, 1: 1, 2: 0} {
		if got := l.newerThan(after); len(got.VMs) != want || got.Revision != 2 {
			t.Errorf("after %d: %+v", after, got)
		}
	}
}
