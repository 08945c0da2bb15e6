package forward

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/routing"
)

// fakeLoans grants what it is asked for, up to a number of retries. Each request for a loan
// waits until it can receive from release, unless that is nil.
type fakeLoans struct {
	release chan struct{}
	mu      sync.Mutex
	left    int
	asked   []retry.LoanRequest
}

func (f *fakeLoans) Borrow(_ context.Context, r retry.LoanRequest) (granted int, lenders []ids.VM) {
	f.mu.Lock()
	f.asked = append(f.asked, r)
	granted = min(r.Retries, f.left)
	f.left -= granted
	f.mu.Unlock()
	if f.release != nil {
		<-f.release
	}
	return granted, []ids.VM{"lender"}
}

// requests returns the requests for loans so far.
func (f *fakeLoans) requests() []retry.LoanRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.asked)
}

// setLoans lets a server borrow retries and uses up its own budget. With 25 nodes, its share
// of the slack is four retries.
func (r *testServer) setLoans(f *fakeLoans) {
	r.Server.picker.opts.Loans = f
	r.SetNodes(25)
	for r.Server.picker.allowRetry("model", outcome.UpstreamLost, retry.Claim{Kind: retry.BrokenStream}) != retry.Denied {
	}
}

// Guards against requests that are refused for want of a retry, and streams that wait for one,
// while other nodes have some to lend.
func TestNodeWithoutRetriesBorrowsThem(t *testing.T) {
	for _, test := range []struct {
		name   string
		kind   retry.Kind
		broken func(t *testing.T, r **testServer, next *fakeUpstream) *fakeUpstream
	}{
		{"refused", retry.NewRequest, func(t *testing.T, _ **testServer, _ *fakeUpstream) *fakeUpstream {
			return fakeEngine(t, "a", 0, 10, refusalReply(503))
		}},
		{"under way", retry.BrokenStream, func(t *testing.T, r **testServer, next *fakeUpstream) *fakeUpstream {
			return dyingEngine(t, r, next)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			next := fakeEngine(t, "b", 0, 10, wholeStream(4))
			next.Zone = "far"
			var r *testServer
			engine := test.broken(t, &r, next)
			r = newTestServer(t, engine)
			r.mu.Lock()
			if test.kind == retry.NewRequest {
				r.dir.Put(time.Time{}, next.Upstream)
			}
			r.mu.Unlock()
			loans := &fakeLoans{left: 1}
			r.setLoans(loans)
			resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
			if !complete || resp.StatusCode() != 200 {
				t.Fatalf("status %d, complete %v", resp.StatusCode(), complete)
			}
			want := retry.LoanRequest{Service: "model", Retries: 1, Kind: test.kind}
			if asked := loans.requests(); len(asked) != 1 || asked[0] != want {
				t.Errorf("asked for %+v, want %+v", asked, want)
			}
			if line := r.lines.find("retry", "r1"); line["kind"] != test.kind.String() || line["borrowed"] != true || line["service"] != "model" || line["budget_limit"] == nil {
				t.Errorf("line of the retry: %v", line)
			}
		})
	}
}

// Guards against moves of running streams that wait for loans, and use up the retries of other
// nodes, although a move needs no retry.
func TestMovedStreamBorrowsNothing(t *testing.T) {
	r := twoReplacements(t)
	loans := &fakeLoans{left: 100}
	r.setLoans(loans)
	if got := r.orders(t); len(got) != 1 {
		t.Errorf("orders %v, want one", got)
	}
	if asked := loans.requests(); len(asked) > 0 {
		t.Errorf("asked for %+v, want no loan", asked)
	}
}

// A request that gets no loan is refused as without loans, within the time of one attempt to
// borrow.
func TestRequestWithoutALoanIsRefused(t *testing.T) {
	refusing := fakeEngine(t, "a", 0, 10, refusalReply(503))
	other := fakeEngine(t, "b", 0, 10, wholeStream(2))
	other.Zone = "far"
	r := newTestServer(t, refusing, other)
	r.setLoans(&fakeLoans{release: make(chan struct{})}) // never answers
	resp, _ := r.ask(t, "POST", "/stream/x", "r1", "p")
	if resp.StatusCode() != 503 || r.metrics.get("refusal.retry_budget") != 1 || r.metrics.get("retry_budget.denied.new_request") != 1 {
		t.Errorf("status %d, want 503 for want of a retry", resp.StatusCode())
	}
	if sent := len(other.requests()); sent != 0 {
		t.Errorf("the request was sent %d times without a retry", sent)
	}
}

// Guards against one request for a loan for each of many requests that lack a retry at once,
// and against urgent ones that wait behind others.
func TestWaitingRequestsShareLoans(t *testing.T) {
	r := newTestServer(t)
	loans := &fakeLoans{release: make(chan struct{}), left: 100}
	r.setLoans(loans)
	b := r.Server.picker.borrower
	first := &loanWaiter{done: make(chan struct{})}
	b.add("model", first)
	eventually(t, "a loan is asked for", func() bool { return len(loans.requests()) == 1 })
	claims := []retry.Claim{{Class: 1}, {Kind: retry.BrokenStream}, {Class: 1}, {Kind: retry.BrokenStream}, {Kind: retry.BrokenStream}}
	var waiters []*loanWaiter
	for _, claim := range claims {
		w := &loanWaiter{claim: claim, done: make(chan struct{})}
		b.add("model", w)
		waiters = append(waiters, w)
	}
	gone := &loanWaiter{claim: retry.Claim{Class: 1}, done: make(chan struct{})}
	b.add("model", gone)
	b.remove("model", gone)
	close(loans.release)
	for _, w := range waiters {
		<-w.done
	}
	want := []retry.LoanRequest{
		{Service: "model", Retries: 1},
		{Service: "model", Retries: 3, Kind: retry.BrokenStream},
		{Service: "model", Retries: 2, Class: 1},
	}
	if asked := loans.requests(); !slices.Equal(asked, want) {
		t.Errorf("asked for %+v, want %+v", asked, want)
	}
}

// Guards against a lender that grants retries of a service that does not exist, and against
// one that lends more than half of what it has left.
func TestServerLendsHalfOfItsRetries(t *testing.T) {
	r := newTestServer(t)
	r.Server.picker.opts.Loans = &fakeLoans{}
	r.SetNodes(10)
	ask := retry.LoanRequest{Service: "model", Retries: 100, Kind: retry.BrokenStream}
	if got := r.LendRetries(ask).Granted; got != 4 {
		t.Errorf("%d retries lent, want half of 0.95 * 100 / 10", got)
	}
	ask.Service = "unknown"
	if got := r.LendRetries(ask).Granted; got != 0 {
		t.Errorf("%d retries of an unknown service lent", got)
	}
}

// Guards against small shares of which a node lends nothing, as it keeps a part for its successor
// until it gives notice, and gives none because it needs no retries itself.
func TestLenderGivesNoticeForALoan(t *testing.T) {
	r := newTestServer(t)
	p := r.Server.picker
	p.opts.Loans = &fakeLoans{}
	notices := 0
	p.opts.OnRetryNotice = func() {
		notices++
		p.setRetryTerms(retry.Terms{FullUntil: retry.Never})
	}
	r.SetNodes(30) // 3.2 retries for this node
	r.SetRetryTerms(retry.Terms{})
	ask := retry.LoanRequest{Service: "model", Retries: 1, Kind: retry.BrokenStream}
	if first, second := r.LendRetries(ask).Granted, r.LendRetries(ask).Granted; first != 0 || second != 1 || notices != 1 {
		t.Errorf("%d retries lent before and %d after %d notices", first, second, notices)
	}
}

// Guards against loans in fleets whose shares are large enough.
func TestLoansAreForSmallShares(t *testing.T) {
	for _, test := range []struct {
		slack float64
		nodes int
		want  bool
	}{
		{308, 62, true},
		{362, 35, true},
		{200, 9, false},
		{200, 20, false},
		{200, 21, true},
		{199, 20, true},
		{150, 10, false},
		{149, 10, true},
		{5, 1, false},
		{5, 0, false},
	} {
		if got := (Budget{Slack: test.slack, Window: 10 * time.Second}).loansOn(test.nodes); got != test.want {
			t.Errorf("slack %v, %d nodes: loans %v, want %v", test.slack, test.nodes, got, test.want)
		}
	}
}

// Guards against a retry that counts when it is granted although its stream waits for
// capacity before it is sent. The window then forgets it too early.
func TestRetryCountsAfterTheWaitForCapacity(t *testing.T) {
	const bucket = 250 * time.Millisecond // of the window
	var refused atomic.Int64
	u := fakeEngine(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		if refused.Add(1) == 1 {
			return reply(conn, req, 503, "", "Q-Not-Run: 1")
		}
		return eventsFrom(conn, req, 1, 2, true)
	})
	r := newTestServer(t, u)
	r.withClasses(t, 2)
	r.engines.full = map[ids.Instance]bool{u.ID: true}
	r.Server.picker.opts.Loans = &fakeLoans{}
	r.SetNodes(50) // 1.9 retries for this node
	time.Sleep(bucket - time.Duration(boottime.Now().UnixNano()%int64(bucket)))
	began := boottime.Now()
	if resp, complete := r.ask(t, "POST", "/calm/x", "r", "p"); !complete || resp.StatusCode() != 200 || refused.Load() != 2 {
		t.Fatalf("status %d, complete %v, %d sends", resp.StatusCode(), complete, refused.Load())
	}
	r.Server.picker.mu.Lock()
	defer r.Server.picker.mu.Unlock()
	if r.Server.picker.budget("model").Covers(began.Add(retry.BudgetWindow+bucket), retry.Claim{}) {
		t.Error("the retry was sent more than 250 ms after it was granted, and counts as of the grant")
	}
}

// Guards against a stream that is sent again with a loan whose validity has passed while the
// stream waited for capacity.
func TestLoanEndsDuringTheWaitForCapacity(t *testing.T) {
	r := newTestServer(t)
	r.setLoans(&fakeLoans{})
	x := &exchange{server: r.Server, service: "model", route: &routing.Route{}}
	x.held = retry.Holding{Grant: retry.Borrowed, Until: boottime.Now()}
	if x.renewRetry(t.Context()) {
		t.Error("the loan counts as valid at its end")
	}
	x.held.Until = boottime.Now().Add(time.Minute)
	if !x.renewRetry(t.Context()) {
		t.Error("a valid loan is not used")
	}
}

// Guards against streams that wait for a loan before they are moved to another chain, which
// takes no retry, and against loans for streams that have no chain on which to use them.
func TestOnlyStreamsThatAreSentAgainBorrow(t *testing.T) {
	t.Run("moved", func(t *testing.T) {
		next := fakeEngine(t, "c", 5, 10, wholeStream(2))
		next.Zone = "far"
		r, _ := stalledChain(t, next)
		loans := &fakeLoans{left: 10}
		r.setLoans(loans)
		if got := r.orders(t); len(got) != 1 || len(loans.requests()) > 0 {
			t.Errorf("orders %v, asked for %+v", got, loans.requests())
		}
	})
	t.Run("no other chain", func(t *testing.T) {
		r, _ := stalledChain(t)
		loans := &fakeLoans{left: 10}
		r.setLoans(loans)
		c := r.dial(t)
		c.send("POST", "/stream/x", "r1", "p")
		time.Sleep(time.Second) // several stall timeouts
		if asked := loans.requests(); len(asked) > 0 {
			t.Errorf("asked for %+v", asked)
		}
	})
}
