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

// The engines of the test, both processes; one checks fences.
const (
	checking   = "checking"
	unchecking = "unchecking"
)

// termStart bounds the time from a term's begin to its first orders: a term
// begins with the last minute's loads taken for used up.
const termStart = 70 * time.Second

// ordersFleet is two candidates for the lease of one platform, and two engines.
type ordersFleet struct {
	addresses map[ids.Upstream]string
	holders   []*holder
}

// holder is one candidate. It can be cut off from the platform without an
// answer.
type holder struct {
	*platform.Client
	duty *orders.Controller

	mu  sync.Mutex
	cut bool
	// sent are the orders that reached an engine, with the lease as it stood.
	sent []sentOrder
}

// sentOrder is an order given.
type sentOrder struct {
	order.Send
	at   time.Time
	held bool
}

// silence cuts the holder off.
func (h *holder) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = true
}

// silent waits for the end of the call if the holder is cut off.
func (h *holder) silent(ctx context.Context) error {
	h.mu.Lock()
	cut := h.cut
	h.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return &platform.UnavailableError{MayHaveTakenEffect: true, Cause: ctx.Err()}
}

// Get implements orders.Platform.
func (h *holder) Get(ctx context.Context, key string) (platformapi.Object, error) {
	if err := h.silent(ctx); err != nil {
		return platformapi.Object{}, err
	}
	return h.Client.Get(ctx, key)
}

// Put implements orders.Platform.
func (h *holder) Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error) {
	if err := h.silent(ctx); err != nil {
		return platformapi.Object{}, err
	}
	return h.Client.Put(ctx, key, value, ifMatch)
}

// List implements orders.Platform.
func (h *holder) List(ctx context.Context, prefix string) (platformapi.ListReply, error) {
	if err := h.silent(ctx); err != nil {
		return platformapi.ListReply{}, err
	}
	return h.Client.List(ctx, prefix)
}

// send gives an order and notes it.
func (h *holder) send(ctx context.Context, address string, s order.Send) order.Result {
	noted := sentOrder{Send: s, at: time.Now(), held: h.duty.Status().Held}
	result := orders.Send(ctx, address, s)
	if result == order.Skipped {
		return result
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, noted)
	return result
}

// given lists the orders sent.
func (h *holder) given() []sentOrder {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.sent)
}

// plan is what an engine is to hold.
func plan(name string, checks bool) []byte {
	value, _ := json.Marshal(order.Plan{
		// More than the engines hold, so that no chain is lost by a load.
		Layers:      2,
		ChecksFence: checks,
		Engines:     []order.Assignment{{Engine: ids.Upstream(name), Model: "m", Version: "2"}},
	})
	return value
}

// startForOrders starts a process of the test and gives its address.
func startForOrders(t *testing.T, args ...string) string {
	t.Helper()
	address, stop, err := lang.Start(t.TempDir(), args...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

// ordersSeen reads the orders that an engine was given.
func ordersSeen(t *testing.T, address string) []engine.OrderRecord {
	t.Helper()
	var seen []engine.OrderRecord
	if err := control.Get(address, engine.OrdersPath, &seen); err != nil {
		t.Fatal(err)
	}
	return seen
}

// candidate makes a holder and runs its duty until ctx ends.
func (f *ordersFleet) candidate(ctx context.Context, t *testing.T, name, address string) *holder {
	t.Helper()
	client, err := platform.New(platform.Settings{Addresses: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	h := &holder{Client: client}
	h.duty = orders.New(orders.Options{
		Lease:    lease.Options{Holder: name},
		Order:    order.Options{RetryInterval: time.Second},
		Platform: h,
		Address:  func(id ids.Upstream) string { return f.addresses[id] },
		Send:     h.send,
	})
	go h.duty.Run(ctx)
	go h.report(ctx)
	return h
}

// report tells the duty each second that neither engine holds what is wanted,
// so that it repeats its orders as long as it may.
func (h *holder) report(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for _, name := range []string{checking, unchecking} {
			_ = h.duty.Reported(engineapi.LoadReport{Engine: name, Epoch: "x", Model: "old"})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// TestOrdersOfALapsedHolder cuts the holder of the lease off from the platform
// while it gives orders. The platform and the engines are processes; the
// candidates run here, by a clock that moves only while they wait.
func TestOrdersOfALapsedHolder(t *testing.T) {
	store := startForOrders(t, "platform")
	f := &ordersFleet{addresses: map[ids.Upstream]string{
		checking:   startForOrders(t, "engine", "--id", checking, "--check-fence"),
		unchecking: startForOrders(t, "engine", "--id", unchecking),
	}}
	publishPlans(t, store)
	var late sentOrder
	synctest.Test(t, func(t *testing.T) { late = f.takeover(t, store) })

	// An order of the old holder that was under way all the time arrives now.
	before := ordersSeen(t, f.addresses[checking])
	if got := orders.Send(t.Context(), f.addresses[checking], late.Send); got != order.Stale {
		t.Errorf("the late order's result: %v, not stale", got)
	}
	after := ordersSeen(t, f.addresses[checking])
	if len(after) != len(before)+1 || after[len(after)-1].Applied {
		t.Errorf("the late order was not refused: %v", after[len(before):])
	}
	for name, address := range f.addresses {
		checkFences(t, string(name), ordersSeen(t, address))
	}
}

// publishPlans writes the plans to the store.
func publishPlans(t *testing.T, store string) {
	t.Helper()
	client, err := platform.New(platform.Settings{Addresses: []string{store}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for name, checks := range map[string]bool{checking: true, unchecking: false} {
		if _, err := client.Put(t.Context(), order.Key(ids.Service(name)), plan(name, checks), 0); err != nil {
			t.Fatal(err)
		}
	}
}

// takeover cuts the first holder off, waits until the other has given orders,
// and gives an order of the first.
func (f *ordersFleet) takeover(t *testing.T, store string) sentOrder {
	ctx, stop := context.WithCancel(t.Context())
	defer f.end(stop)
	f.holders = []*holder{f.candidate(ctx, t, "a", store), f.candidate(ctx, t, "b", store)}
	<-time.After(termStart)
	first, second := f.holders[0], f.holders[1]
	if second.duty.Status().Held {
		first, second = second, first
	}
	if !first.duty.Status().Held || second.duty.Status().Held {
		t.Fatal("not one holder")
	}
	fence := first.duty.Status().Fence
	first.silence()
	cutAt := time.Now()
	<-time.After(2*lease.DefaultDuration + termStart)
	if status := second.duty.Status(); !status.Held || status.Fence <= fence || first.duty.Status().Held {
		t.Errorf("no takeover with a higher fence: %+v after %d", status, fence)
	}
	f.checkSent(t, first.given(), second.given(), cutAt)
	if len(first.given()) == 0 {
		t.Fatal("no orders to repeat")
	}
	return first.given()[0]
}

// end stops the candidates.
func (f *ordersFleet) end(stop context.CancelFunc) {
	stop()
	for _, h := range f.holders {
		h.Close()
	}
	// What looks after idle connections ends by the clock.
	<-time.After(time.Minute)
}

// checkSent checks what both holders sent to each engine.
func (f *ordersFleet) checkSent(t *testing.T, first, second []sentOrder, cutAt time.Time) {
	t.Helper()
	for name := range f.addresses {
		of := func(s sentOrder) bool { return s.Engine != name }
		older, newer := slices.DeleteFunc(slices.Clone(first), of), slices.DeleteFunc(slices.Clone(second), of)
		if len(older) == 0 || len(newer) == 0 {
			t.Errorf("%s: %d orders of the first holder, %d of the second", name, len(older), len(newer))
			continue
		}
		last := older[len(older)-1]
		if !last.at.After(cutAt) {
			t.Errorf("%s: the cut holder gave no order while its lease ran", name)
		}
		if bound := cutAt.Add(lease.DefaultDuration); last.at.After(bound) {
			t.Errorf("%s: an order %v after the lease had lapsed", name, last.at.Sub(bound))
		}
		for _, s := range slices.Concat(older, newer) {
			if !s.held {
				t.Errorf("%s: an order without the lease: %+v", name, s.Order)
			}
		}
		if !newer[0].at.After(last.at.Add(last.Timeout)) {
			t.Errorf("%s: orders of two terms at once", name)
		}
	}
}

// checkFences checks that the orders an engine obeyed never went back.
func checkFences(t *testing.T, name string, seen []engine.OrderRecord) {
	t.Helper()
	highest, terms := int64(0), 0
	for _, s := range seen {
		if !s.Applied {
			continue
		}
		if s.Order.Fence < highest {
			t.Errorf("%s obeyed fence %d after %d", name, s.Order.Fence, highest)
		}
		if s.Order.Fence > highest {
			highest = s.Order.Fence
			terms++
		}
	}
	if terms != 2 {
		t.Errorf("%s obeyed orders of %d terms, not 2", name, terms)
	}
}
