package lang

import (
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

// condition is something that a script checks at once or waits for; it gives
// nil when it holds.
type condition func(ts *testscript.TestScript, w *world, args []string) error

// conditions are those that check and await know, with their arguments. N is a
// bound such as =3, >=3 or <=3.
var conditions = map[string]condition{
	// ready NODE...: the nodes take requests.
	"ready": readyIs(fasthttp.StatusOK),
	// unready NODE...: the nodes take no requests.
	"unready": readyIs(fasthttp.StatusServiceUnavailable),
	// metric NODE NAME N: a counter.
	"metric": metric,
	// tokens REQUEST N: the tokens received so far.
	"tokens": tokens,
	// starts N ENGINE...: the attempts started on all the engines.
	"starts": starts,
	// running N ENGINE...: the requests running on all the engines as heads.
	"running": running,
	// exact ENGINE...: each token cited each layer once, in order.
	"exact": exact,
	// executions METHOD N PLAIN...: the calls executed on all the services.
	"executions": executions,
	// once N PLAIN...: N bodies were executed, each once on all the services.
	"once": once,
	// answers N GROUP... FIELD=VALUE...: the ended calls of groups that "calls"
	// made, with these fields.
	"answers": answers,
	// outcomes N ADDRESS OUTCOME METHOD PATH OPTION...: as outcome, for the N
	// keys of a group of calls.
	"outcomes": outcomesAre,
	// sum NAME N NODE...: a counter, summed over nodes.
	"sum": metricSum,
	// exit NAME CODE: the process has ended.
	"exit": exited,
	// ended REQUEST...: the answers have ended.
	"ended": ended,
	// accepted LINK N: the connections a link has accepted.
	"accepted": accepted,
	// stats PLATFORM NAME N: a count of the platform's calls.
	"stats": stats,
	// outcome ADDRESS OUTCOME METHOD PATH OPTION...: a call of the plain service,
	// made for each look, has the outcome.
	"outcome": outcomeIs,
	// documents NODE N: the configuration documents in force.
	"documents": documentsInForce,
	// peers NODE PEER...: all the peers that a node knows, in order.
	"peers": peersAre,
	// upstream NODE STATE UPSTREAM...: how a node sees the upstreams.
	"upstream": upstream,
	// dead N NAME...: how many of the processes have ended.
	"dead": dead,
	// received SERVER N: the requests a tcp server has read.
	"received": received,
}

// check is "check CONDITION ARG...": the condition holds now.
func check(ts *testscript.TestScript, neg bool, args []string) {
	holds := find(ts, args)
	err := holds()
	if neg == (err == nil) {
		ts.Fatalf("%s: negated %v, error %v", strings.Join(args, " "), neg, err)
	}
}

// await is "await CONDITION ARG...": it waits until the condition holds.
func await(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("await can't be negated")
	}
	ts.Check(eventually(find(ts, args)))
}

// find binds a condition to its arguments.
func find(ts *testscript.TestScript, args []string) func() error {
	if len(args) < 2 {
		ts.Fatalf("usage: check|await condition argument...")
	}
	holds := conditions[args[0]]
	if holds == nil {
		ts.Fatalf("unknown condition %q", args[0])
	}
	w := worldOf(ts)
	return func() error { return holds(ts, w, args[1:]) }
}

// bounded tells how n misses a bound such as >=3.
func bounded(n int, bound string) error {
	digits := strings.TrimLeft(bound, "<>=")
	want, err := strconv.Atoi(digits)
	if err != nil {
		return err
	}
	holds := false
	switch strings.TrimSuffix(bound, digits) {
	case "=":
		holds = n == want
	case ">=":
		holds = n >= want
	case "<=":
		holds = n <= want
	default:
		return mismatch("no such bound: %q", bound)
	}
	if !holds {
		return mismatch("%d, not %s", n, bound)
	}
	return nil
}

// tokens is a condition.
func tokens(ts *testscript.TestScript, w *world, args []string) error {
	return bounded(int(w.request(ts, args[0]).tokens.Load()), args[1])
}

// exited is a condition.
func exited(ts *testscript.TestScript, w *world, args []string) error {
	p := w.process(ts, args[0])
	select {
	case <-p.ended:
		return bounded(p.code, "="+args[1])
	default:
		return mismatch("%s still runs", args[0])
	}
}

// ended is a condition.
func ended(ts *testscript.TestScript, w *world, args []string) error {
	for _, name := range args {
		select {
		case <-w.request(ts, name).done:
		default:
			return mismatch("%s has not ended", name)
		}
	}
	return nil
}

// dead is a condition.
func dead(ts *testscript.TestScript, w *world, args []string) error {
	n := 0
	for _, name := range args[1:] {
		select {
		case <-w.process(ts, name).ended:
			n++
		default:
		}
	}
	return bounded(n, args[0])
}

// received is a condition.
func received(_ *testscript.TestScript, w *world, args []string) error {
	return bounded(w.servers[args[0]].count(), args[1])
}
