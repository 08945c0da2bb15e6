package lang

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/decide/router"
)

// readyIs waits for a status of the readiness check.
func readyIs(status int) condition {
	return func(ts *testscript.TestScript, w *world, args []string) error {
		for _, name := range args {
			code, _, err := fasthttp.Get(nil, "http://"+w.process(ts, name).operators+"/readyz")
			if err != nil {
				return err
			}
			if code != status {
				return mismatch("%s: readiness %d", name, code)
			}
		}
		return nil
	}
}

// metric is a condition.
func metric(ts *testscript.TestScript, w *world, args []string) error {
	n, err := counter(w.process(ts, args[0]), args[1])
	if err != nil {
		return err
	}
	return bounded(n, args[2])
}

// counter reads one of a node's counters; one not yet made is 0.
func counter(p *process, name string) (int, error) {
	_, body, err := fasthttp.Get(nil, "http://"+p.operators+"/metrics")
	if err != nil {
		return 0, err
	}
	var all map[string]struct{ Count int }
	if err := json.Unmarshal(body, &all); err != nil {
		return 0, err
	}
	return all[name].Count, nil
}

// outcomeIs is a condition.
func outcomeIs(ts *testscript.TestScript, _ *world, args []string) error {
	result, err := plainSender(ts, args[0], args[2:])(context.Background())
	if err != nil {
		return err
	}
	if !oneOf(string(result.Outcome), args[1]) {
		return mismatch("%s (%s %s), not %s", result.Outcome, result.Reason, result.Message, args[1])
	}
	return nil
}

// nodeStatus is the part of a node's status that scripts look at.
type nodeStatus struct {
	router.Status
	Config struct{ Objects []struct{ Key string } }
	Peers  []struct{ VM string }
}

// statusOf asks a node for its status.
func statusOf(p *process) (nodeStatus, error) {
	var status nodeStatus
	_, body, err := fasthttp.Get(nil, "http://"+p.operators+"/status")
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(body, &status)
}

// documentsInForce is a condition.
func documentsInForce(ts *testscript.TestScript, w *world, args []string) error {
	status, err := statusOf(w.process(ts, args[0]))
	if err != nil {
		return err
	}
	return bounded(len(status.Config.Objects), args[1])
}

// upstream is a condition.
func upstream(ts *testscript.TestScript, w *world, args []string) error {
	status, err := statusOf(w.process(ts, args[0]))
	if err != nil {
		return err
	}
	states := make(map[string]string)
	for _, u := range status.Upstreams {
		states[string(u.ID)] = u.State
	}
	for _, id := range args[2:] {
		if states[id] != args[1] {
			return mismatch("%s: %q, not %q", id, states[id], args[1])
		}
	}
	return nil
}

// peersAre is a condition.
func peersAre(ts *testscript.TestScript, w *world, args []string) error {
	status, err := statusOf(w.process(ts, args[0]))
	if err != nil {
		return err
	}
	var names []string
	for _, p := range status.Peers {
		names = append(names, p.VM)
	}
	slices.Sort(names)
	if !slices.Equal(names, args[1:]) {
		return mismatch("peers %v, not %v", names, args[1:])
	}
	return nil
}
