package orders

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/order"
)

// fakePlatform is an in-memory platform.
type fakePlatform struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]platformapi.Object
	// loseAnswers makes writes take effect without an answer; down makes reads and
	// writes of objects fail.
	loseAnswers, down bool
}

func (s *fakePlatform) Get(_ context.Context, key string) (platformapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if s.down {
		return object, &platform.UnavailableError{}
	}
	if !ok {
		return object, &platform.NotFoundError{Key: key}
	}
	return object, nil
}

func (s *fakePlatform) Put(_ context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platformapi.Object{}, &platform.UnavailableError{MayHaveTakenEffect: true}
	}
	if current := s.objects[key]; current.Version != ifMatch {
		return platformapi.Object{}, &platform.ConflictError{Current: current}
	}
	s.revision++
	s.objects[key] = platformapi.Object{Key: key, Version: s.revision, Value: value}
	if s.loseAnswers {
		return platformapi.Object{}, &platform.UnavailableError{MayHaveTakenEffect: true}
	}
	return s.objects[key], nil
}

func (s *fakePlatform) List(_ context.Context, prefix string) (out platformapi.ListReply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out.Objects = append(out.Objects, object)
		}
	}
	return out, nil
}

func (s *fakePlatform) set(do func()) { s.mu.Lock(); defer s.mu.Unlock(); do() }

// fleet holds two controllers, their platform and the orders that the engine
// received.
type fleet struct {
	*fakePlatform
	controllers  []*Controller
	stops        []func()
	mu           sync.Mutex
	received     []engineapi.Order
	highestFence int64
	checksFence  bool
}

// runControllers runs the test with two running controllers in a synctest bubble.
func runControllers(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{fakePlatform: &fakePlatform{objects: map[string]platformapi.Object{}}}
		plan, _ := json.Marshal(order.Plan{Layers: 2, Engines: []order.Assignment{{Engine: "e", Model: "m", Version: "2"}}})
		_, _ = f.Put(t.Context(), order.Key("s"), plan, 0)
		for _, name := range []string{"a", "b"} {
			c := New(Options{
				Lease:    lease.Options{Holder: name, Duration: 15 * time.Second},
				Platform: f.fakePlatform,
				Address:  func(ids.Upstream) string { return "x" },
				Send:     f.send,
			})
			ctx, stop := context.WithCancel(t.Context())
			f.controllers = append(f.controllers, c)
			f.stops = append(f.stops, stop)
			go c.Run(ctx)
			go f.report(ctx, c)
		}
		test(t, f)
		for _, stop := range f.stops {
			stop()
		}
		synctest.Wait()
	})
}

// report sends a controller each second a report of an engine that holds the old
// model.
func (f *fleet) report(ctx context.Context, c *Controller) {
	for ctx.Err() == nil {
		_ = c.Reported(engineapi.LoadReport{Engine: "e", Epoch: "x", Model: "old"})
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func (f *fleet) send(_ context.Context, _ string, s order.Send) order.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checksFence && s.Order.Fence < f.highestFence {
		return order.Stale
	}
	f.highestFence = max(f.highestFence, s.Order.Fence)
	f.received = append(f.received, s.Order)
	return order.Applied
}

// takeOrders returns the orders received since the last call.
func (f *fleet) takeOrders() []engineapi.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.received
	f.received = nil
	return out
}

// holder returns the index of the controller that holds the lease; -1 if none does.
func (f *fleet) holder(t *testing.T) int {
	t.Helper()
	holder := -1
	for i, c := range f.controllers {
		if c.Status().Held {
			if holder >= 0 {
				t.Fatal("two holders")
			}
			holder = i
		}
	}
	return holder
}

func sleep(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func TestOrdersFollowTheLease(t *testing.T) {
	runControllers(t, func(t *testing.T, f *fleet) {
		sleep(2 * time.Minute)
		first := f.holder(t)
		sent := f.takeOrders()
		if first < 0 || len(sent) == 0 || sent[0].Version != "2" || sent[0].Fence == 0 {
			t.Fatalf("holder %d sent %v", first, sent)
		}
		f.stops[first]()
		sleep(10 * time.Second)
		if len(f.takeOrders()) > 0 {
			t.Fatal("orders of a stopped holder")
		}
		sleep(2 * time.Minute)
		next := f.takeOrders()
		if second := f.holder(t); second != 1-first || len(next) == 0 || next[0].Fence <= sent[0].Fence {
			t.Fatalf("holder %d sent %v", second, next)
		}
	})
}

func TestOutageEndsOrdersInTime(t *testing.T) {
	runControllers(t, func(t *testing.T, f *fleet) {
		sleep(2 * time.Minute)
		f.set(func() { f.down = true })
		sleep(15 * time.Second)
		f.takeOrders()
		sleep(time.Minute)
		if f.holder(t) >= 0 || len(f.takeOrders()) > 0 {
			t.Fatal("the lease outlived the outage")
		}
		f.set(func() { f.down = false })
		sleep(2 * time.Minute)
		if f.holder(t) < 0 || len(f.takeOrders()) == 0 {
			t.Fatal("nobody took the lease again")
		}
	})
}

func TestLostAnswersKeepTheLease(t *testing.T) {
	runControllers(t, func(t *testing.T, f *fleet) {
		sleep(time.Minute)
		first := f.holder(t)
		f.set(func() { f.loseAnswers = true })
		for range 60 {
			sleep(time.Second)
			if f.holder(t) != first {
				t.Fatal("the lease was lost with the answers")
			}
		}
	})
}

func TestStaleFenceStepsDown(t *testing.T) {
	runControllers(t, func(t *testing.T, f *fleet) {
		sleep(2 * time.Minute)
		old := f.controllers[f.holder(t)].Status().Fence
		f.mu.Lock()
		f.checksFence, f.highestFence = true, old+1
		f.mu.Unlock()
		sleep(2 * time.Minute)
		holder := f.holder(t)
		if holder < 0 || f.controllers[holder].Status().Fence <= old {
			t.Fatal("the term continued")
		}
	})
}

// manualLease is a lease that no elector renews.
type manualLease struct{ *lease.Lease }

func (b manualLease) Status() lease.Status { return b.State(time.Now()) }

func TestNothingIsSentWithoutTheLease(t *testing.T) {
	sent := false
	c := New(Options{
		Lease:   lease.Options{Holder: "a"},
		Address: func(ids.Upstream) string { return "x" },
		Send:    func(context.Context, string, order.Send) order.Result { sent = true; return order.Applied },
	})
	hold := func(left time.Duration) {
		held := lease.New(lease.Options{Holder: "a"})
		began := time.Now().Add(left - lease.DefaultDuration)
		held.Tick(began)
		held.Answered(began, lease.Answer{Kind: lease.Absent})
		write := held.Tick(began).(lease.Write)
		held.Answered(began, lease.Answer{Kind: lease.Found, Version: revision.Of(3), Record: write.Record})
		c.lease = manualLease{held}
	}
	s := order.Send{Order: engineapi.Order{Fence: 3}, Timeout: time.Second, MinLeaseRemaining: lease.DefaultDuration / 3}
	earlier := s
	earlier.Order.Fence = 2
	for name, try := range map[string]func() order.Result{
		"lapsed":             func() order.Result { hold(-time.Second); return c.sendIfHeld(t.Context(), s) },
		"little left":        func() order.Result { hold(s.MinLeaseRemaining - time.Millisecond); return c.sendIfHeld(t.Context(), s) },
		"of an earlier term": func() order.Result { hold(lease.DefaultDuration); return c.sendIfHeld(t.Context(), earlier) },
	} {
		if got := try(); got != order.Skipped || sent {
			t.Errorf("%s: got %v", name, got)
		}
	}
	hold(lease.DefaultDuration)
	if got := c.sendIfHeld(t.Context(), s); got != order.Applied || !sent {
		t.Errorf("held: got %v", got)
	}
}

func TestSend(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   order.Result
	}{
		{http.StatusOK, `{"engine":"e","applied":true,"fence":3}`, order.Applied},
		{http.StatusOK, `{"engine":"other","applied":true,"fence":3}`, order.Lost},
		{http.StatusOK, `{"engine":"e","applied":false}`, order.Refused},
		{http.StatusConflict, `{"code":"stale_fence"}`, order.Stale},
		{http.StatusServiceUnavailable, `{"code":"leaving"}`, order.Refused},
		{http.StatusBadGateway, `no JSON`, order.Lost},
	}
	for _, c := range cases {
		var got engineapi.Order
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = json.NewDecoder(r.Body).Decode(&got)
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		s := order.Send{Engine: "e", Order: engineapi.Order{Fence: 3, Model: "m"}}
		if result := Send(t.Context(), server.Listener.Addr().String(), s); result != c.want || got != s.Order {
			t.Errorf("%d %s: got %v for %v, want %v", c.status, c.body, result, got, c.want)
		}
		server.Close()
	}
}

// Guards against an order whose outcome counts as known although the engine ended the connection
// within its response.
func TestOrderWhoseResponseIsCutIsLost(t *testing.T) {
	for _, reply := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n" + `{"engine":"e","applied":true,"fence":333}`,
		"HTTP/1.1 409 Conflict\r\nContent-Length: 22\r\n\r\n" + `{"code":"stale_fence"}`,
	} {
		for n := range len(reply) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = conn.Write([]byte(reply[:n]))
				_ = conn.Close()
			}))
			s := order.Send{Engine: "e", Order: engineapi.Order{Fence: 3, Model: "m"}}
			if result := Send(t.Context(), server.Listener.Addr().String(), s); result != order.Lost {
				t.Errorf("cut at byte %d of %q: got %v", n, reply, result)
			}
			server.Close()
		}
	}
}
