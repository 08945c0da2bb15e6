package scenario

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosaarch.example/adapter/orders"
	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/order"
	"mimosaarch.example/scenario/lang"
	"mimosaarch.example/standin/control"
	"mimosaarch.example/standin/engine"
)

// IDs of the engines. The first rejects orders with an old fencing token, the
// second obeys every order.
const (
	checkingEngine    = "checking"
	nonCheckingEngine = "unchecking"
)

// maxTermStart bounds the time from the start of a term to its first orders. A
// new lease holder must assume that all the loads of layers allowed per minute have just been
// started, so it waits for a minute.
const maxTermStart = 70 * time.Second

// ordersFleet is two engines and two candidates for the lease on sending them
// orders. Both candidates use the same platform.
type ordersFleet struct {
	addresses  map[ids.Upstream]string
	candidates []*candidate
}

// candidate is a candidate for the lease that can be disconnected from the
// platform: its calls then get no answer.
type candidate struct {
	*platform.Client
	controller *orders.Controller

	mu           sync.Mutex
	disconnected bool
	// sent holds all orders except those that never left the candidate.
	sent []sentOrder
}

// sentOrder is an order, the time of sending it, and whether the candidate then
// held the lease.
type sentOrder struct {
	order.Send
	at   time.Time
	held bool
}

// disconnect disconnects the candidate from the platform.
func (c *candidate) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = true
}

// waitIfDisconnected returns nil if the candidate is connected. Else it waits
// until ctx ends and returns a *platform.UnavailableError.
func (c *candidate) waitIfDisconnected(ctx context.Context) error {
	c.mu.Lock()
	disconnected := c.disconnected
	c.mu.Unlock()
	if !disconnected {
		return nil
	}
	<-ctx.Done()
	return &platform.UnavailableError{MayHaveTakenEffect: true, Cause: ctx.Err()}
}

// Get implements orders.Platform.
func (c *candidate) Get(ctx context.Context, key string) (platformapi.Object, error) {
	if err := c.waitIfDisconnected(ctx); err != nil {
		return platformapi.Object{}, err
	}
	return c.Client.Get(ctx, key)
}

// Put implements orders.Platform.
func (c *candidate) Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error) {
	if err := c.waitIfDisconnected(ctx); err != nil {
		return platformapi.Object{}, err
	}
	return c.Client.Put(ctx, key, value, ifMatch)
}

// List implements orders.Platform.
func (c *candidate) List(ctx context.Context, prefix string) (platformapi.ListReply, error) {
	if err := c.waitIfDisconnected(ctx); err != nil {
		return platformapi.ListReply{}, err
	}
	return c.Client.List(ctx, prefix)
}

// send sends an order to the engine at address and records it unless it was
// skipped.
func (c *candidate) send(ctx context.Context, address string, s order.Send) order.Result {
	sent := sentOrder{Send: s, at: time.Now(), held: c.controller.Status().Held}
	result := orders.Send(ctx, address, s)
	if result == order.Skipped {
		return result
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, sent)
	return result
}

// sentOrders returns a copy of the orders recorded by send.
func (c *candidate) sentOrders() []sentOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.sent)
}

// encodePlan returns the JSON of a plan that assigns one layer of a model to an
// engine.
func encodePlan(name string, checks bool) []byte {
	value, _ := json.Marshal(order.Plan{
		// One layer more than the engines hold: there is no complete chain, so
		// loading an engine can't break one and is never put off for that.
		Layers:      2,
		ChecksFence: checks,
		Engines:     []order.Assignment{{Engine: ids.Upstream(name), Model: "m", Version: "2"}},
	})
	return value
}

// startProcess starts a command, which is killed when the test ends, and returns
// its address.
func startProcess(t *testing.T, args ...string) string {
	t.Helper()
	address, stop, err := lang.Start(t.TempDir(), args...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

// ordersSeen returns the orders that an engine received, in order of arrival.
func ordersSeen(t *testing.T, address string) []engine.OrderRecord {
	t.Helper()
	var seen []engine.OrderRecord
	if err := control.Get(address, engine.OrdersPath, &seen); err != nil {
		t.Fatal(err)
	}
	return seen
}

// startCandidate starts a candidate that runs until ctx is cancelled. address is
// that of the platform.
func (f *ordersFleet) startCandidate(ctx context.Context, t *testing.T, name, address string) *candidate {
	t.Helper()
	client, err := platform.New(platform.Settings{Addresses: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	c := &candidate{Client: client}
	c.controller = orders.New(orders.Options{
		Lease:    lease.Options{Holder: name},
		Order:    order.Options{RetryInterval: time.Second},
		Platform: c,
		Address:  func(id ids.Upstream) string { return f.addresses[id] },
		Send:     c.send,
	})
	go c.controller.Run(ctx)
	go c.reportLoads(ctx)
	return c
}

// reportLoads reports each second that both engines hold an old model, so that
// the controller keeps repeating its orders while it has the lease.
func (c *candidate) reportLoads(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for _, name := range []string{checkingEngine, nonCheckingEngine} {
			_ = c.controller.Reported(engineapi.LoadReport{Engine: name, Epoch: "x", Model: "old"})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// TestOrdersOfALapsedHolder disconnects the lease holder from the platform while
// it sends orders. It must stop when its lease expires, the other candidate must
// take over, and an engine that checks fencing tokens must reject a late order
// of the first. The platform and the engines are processes; the candidates run
// in the test with the fake clock of synctest.
func TestOrdersOfALapsedHolder(t *testing.T) {
	store := startProcess(t, "platform")
	f := &ordersFleet{addresses: map[ids.Upstream]string{
		checkingEngine:    startProcess(t, "engine", "--id", checkingEngine, "--check-fence"),
		nonCheckingEngine: startProcess(t, "engine", "--id", nonCheckingEngine),
	}}
	publishPlans(t, store)
	var late sentOrder
	synctest.Test(t, func(t *testing.T) { late = f.takeover(t, store) })

	// Now an order of the first holder arrives late.
	before := ordersSeen(t, f.addresses[checkingEngine])
	if got := orders.Send(t.Context(), f.addresses[checkingEngine], late.Send); got != order.Stale {
		t.Errorf("result of the late order is %v, want stale", got)
	}
	after := ordersSeen(t, f.addresses[checkingEngine])
	if len(after) != len(before)+1 || after[len(after)-1].Applied {
		t.Errorf("the engine did not refuse the late order: %v", after[len(before):])
	}
	for name, address := range f.addresses {
		checkFences(t, string(name), ordersSeen(t, address))
	}
}

// publishPlans writes a plan for each engine to the platform.
func publishPlans(t *testing.T, store string) {
	t.Helper()
	client, err := platform.New(platform.Settings{Addresses: []string{store}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for name, checks := range map[string]bool{checkingEngine: true, nonCheckingEngine: false} {
		if _, err := client.Put(t.Context(), order.Key(ids.Service(name)), encodePlan(name, checks), 0); err != nil {
			t.Fatal(err)
		}
	}
}

// takeover disconnects the lease holder, waits until the other candidate has
// taken over and sent orders, and checks the orders of both. It returns the
// first order of the first holder.
func (f *ordersFleet) takeover(t *testing.T, store string) sentOrder {
	ctx, stop := context.WithCancel(t.Context())
	defer f.end(stop)
	f.candidates = []*candidate{f.startCandidate(ctx, t, "a", store), f.startCandidate(ctx, t, "b", store)}
	<-time.After(maxTermStart)
	first, second := f.candidates[0], f.candidates[1]
	if second.controller.Status().Held {
		first, second = second, first
	}
	if !first.controller.Status().Held || second.controller.Status().Held {
		t.Fatal("want exactly one lease holder")
	}
	fence := first.controller.Status().Fence
	first.disconnect()
	disconnectedAt := time.Now()
	<-time.After(2*lease.DefaultDuration + maxTermStart)
	if status := second.controller.Status(); !status.Held || status.Fence <= fence || first.controller.Status().Held {
		t.Errorf("no takeover with a higher fencing token: %+v after %d", status, fence)
	}
	f.checkSent(t, first.sentOrders(), second.sentOrders(), disconnectedAt)
	if len(first.sentOrders()) == 0 {
		t.Fatal("the first holder sent no orders")
	}
	return first.sentOrders()[0]
}

// end stops the candidates and closes their connections to the platform.
func (f *ordersFleet) end(stop context.CancelFunc) {
	stop()
	for _, c := range f.candidates {
		c.Close()
	}
	// The goroutines that close idle connections end after some time by the
	// fake clock.
	<-time.After(time.Minute)
}

// checkSent checks the orders of both holders to each engine: the first holder
// sends orders until its lease expires, every order is sent with the lease held,
// and the second sends none before the last of the first has timed
// out.
func (f *ordersFleet) checkSent(t *testing.T, first, second []sentOrder, disconnectedAt time.Time) {
	t.Helper()
	for name := range f.addresses {
		toOther := func(s sentOrder) bool { return s.Engine != name }
		older, newer := slices.DeleteFunc(slices.Clone(first), toOther), slices.DeleteFunc(slices.Clone(second), toOther)
		if len(older) == 0 || len(newer) == 0 {
			t.Errorf("%s: %d orders of the first holder and %d of the second, want some of both", name, len(older), len(newer))
			continue
		}
		last := older[len(older)-1]
		if !last.at.After(disconnectedAt) {
			t.Errorf("%s: the disconnected holder sent no order while its lease lasted", name)
		}
		if bound := disconnectedAt.Add(lease.DefaultDuration); last.at.After(bound) {
			t.Errorf("%s: an order was sent %v after the lease had expired", name, last.at.Sub(bound))
		}
		for _, s := range slices.Concat(older, newer) {
			if !s.held {
				t.Errorf("%s: an order was sent without the lease: %+v", name, s.Order)
			}
		}
		if !newer[0].at.After(last.at.Add(last.Timeout)) {
			t.Errorf("%s: orders of two terms were in flight at once", name)
		}
	}
}

// checkFences checks that the fencing tokens of the orders that an engine
// applied never decrease, and that they are of exactly two terms.
func checkFences(t *testing.T, name string, seen []engine.OrderRecord) {
	t.Helper()
	highest, terms := int64(0), 0
	for _, s := range seen {
		if !s.Applied {
			continue
		}
		if s.Order.Fence < highest {
			t.Errorf("%s applied an order with fencing token %d after %d", name, s.Order.Fence, highest)
		}
		if s.Order.Fence > highest {
			highest = s.Order.Fence
			terms++
		}
	}
	if terms != 2 {
		t.Errorf("%s applied orders of %d terms, want 2", name, terms)
	}
}
