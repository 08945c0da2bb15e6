package lang

import (
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

// condition is the implementation of a condition that a script checks or waits
// for. It returns nil if the condition holds, else an error that says why not.
type condition func(ts *testscript.TestScript, st *scriptState, args []string) error

// conditions are the conditions of check and await, by name, with their
// arguments. N is a bound such as =3, >=3 or <=3. A NAME, NODE, ENGINE, PLAIN or
// PLATFORM is that of a spawned process.
var conditions = map[string]condition{
	// ready NODE...: all the nodes are ready.
	"ready": readyIs(fasthttp.StatusOK),
	// unready NODE...: none of the nodes is ready.
	"unready": readyIs(fasthttp.StatusServiceUnavailable),
	// metric NODE NAME N: the value of a counter of the node.
	"metric": metric,
	// tokens REQUEST N: the number of tokens received so far.
	"tokens": tokens,
	// starts N ENGINE...: the number of attempts started, over all the engines.
	"starts": starts,
	// running N ENGINE...: the number of requests that run now with one of the
	// engines as the head of their chain.
	"running": running,
	// exact ENGINE...: each token passed through each layer once, in order.
	"exact": exact,
	// executions METHOD N PLAIN...: the number of calls with the HTTP method
	// that were executed, over all the plain services.
	"executions": executions,
	// once N PLAIN...: the number of distinct bodies executed, each of them
	// only once over all the plain services.
	"once": once,
	// answers N GROUP... FIELD=VALUE...: the number of ended calls of the
	// groups made by "calls" that have these field values.
	"answers": answers,
	// outcomes N ADDRESS OUTCOME METHOD PATH OPTION...: as outcome, with the
	// key and body of each of the N calls of a group.
	"outcomes": outcomesAre,
	// sum NAME N NODE...: the sum of a counter over the nodes.
	"sum": metricSum,
	// exit NAME CODE: the process has exited with the code.
	"exit": exited,
	// ended REQUEST...: the answers to all the requests have ended.
	"ended": ended,
	// accepted LINK N: the number of connections that the link has accepted.
	"accepted": accepted,
	// stats PLATFORM NAME N: a count of calls from the platform's statistics.
	"stats": stats,
	// outcome ADDRESS OUTCOME METHOD PATH OPTION...: a call of the plain service
	// gets the outcome. Each evaluation makes a new call.
	"outcome": outcomeIs,
	// documents NODE N: the number of active configuration documents.
	"documents": activeDocuments,
	// peers NODE PEER...: the peers that the node knows are exactly these, given
	// in sorted order.
	"peers": peersAre,
	// upstream NODE STATE UPSTREAM...: the node reports STATE for all the upstreams.
	"upstream": upstream,
	// dead N NAME...: the number of these processes that have ended.
	"dead": dead,
	// received SERVER N: the number of requests that a tcp server has read.
	"received": received,
}

// check is the command "check CONDITION ARG...". It fails unless the condition
// holds now; with "!" it fails if the condition holds.
func check(ts *testscript.TestScript, neg bool, args []string) {
	evaluate := bindCondition(ts, args)
	err := evaluate()
	if neg == (err == nil) {
		ts.Fatalf("%s: negated %v, error %v", strings.Join(args, " "), neg, err)
	}
}

// await is the command "await CONDITION ARG...". It waits until the condition
// holds and fails after maxWait.
func await(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("await can't be negated")
	}
	ts.Check(eventually(bindCondition(ts, args)))
}

// bindCondition returns a function that evaluates the condition args[0] with the
// other arguments. It fails the script if the condition is unknown.
func bindCondition(ts *testscript.TestScript, args []string) func() error {
	if len(args) < 2 {
		ts.Fatalf("usage: check|await condition argument...")
	}
	evaluate := conditions[args[0]]
	if evaluate == nil {
		ts.Fatalf("unknown condition %q", args[0])
	}
	st := stateOf(ts)
	return func() error { return evaluate(ts, st, args[1:]) }
}

// checkBound returns an error if n does not satisfy a bound such as >=3, or if
// the bound can't be parsed.
func checkBound(n int, bound string) error {
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
		return mismatch("invalid bound %q, expected one such as =3, >=3 or <=3", bound)
	}
	if !holds {
		return mismatch("got %d, want %s", n, bound)
	}
	return nil
}

// tokens checks the number of tokens that a request has received.
func tokens(ts *testscript.TestScript, st *scriptState, args []string) error {
	return checkBound(int(st.request(ts, args[0]).tokens.Load()), args[1])
}

// exited checks that a process has ended, and its exit code.
func exited(ts *testscript.TestScript, st *scriptState, args []string) error {
	p := st.process(ts, args[0])
	select {
	case <-p.ended:
		return checkBound(p.code, "="+args[1])
	default:
		return mismatch("%s is still running", args[0])
	}
}

// ended checks that the answers to requests have ended.
func ended(ts *testscript.TestScript, st *scriptState, args []string) error {
	for _, name := range args {
		select {
		case <-st.request(ts, name).done:
		default:
			return mismatch("%s has not ended", name)
		}
	}
	return nil
}

// dead checks how many of several processes have ended.
func dead(ts *testscript.TestScript, st *scriptState, args []string) error {
	n := 0
	for _, name := range args[1:] {
		select {
		case <-st.process(ts, name).ended:
			n++
		default:
		}
	}
	return checkBound(n, args[0])
}

// received checks the number of requests that a tcp server has read.
func received(_ *testscript.TestScript, st *scriptState, args []string) error {
	return checkBound(st.servers[args[0]].count(), args[1])
}
