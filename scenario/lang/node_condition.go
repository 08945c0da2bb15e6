package lang

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/decide/router"
)

// readyIs returns a condition that checks the HTTP status of the readiness
// endpoint of nodes.
func readyIs(status int) condition {
	return func(ts *testscript.TestScript, st *scriptState, args []string) error {
		for _, name := range args {
			code, _, err := fasthttp.Get(nil, "http://"+st.process(ts, name).operators+"/readyz")
			if err != nil {
				return err
			}
			if code != status {
				return mismatch("%s: readiness status is %d", name, code)
			}
		}
		return nil
	}
}

// metric checks the value of a node's counter.
func metric(ts *testscript.TestScript, st *scriptState, args []string) error {
	n, err := counter(st.process(ts, args[0]), args[1])
	if err != nil {
		return err
	}
	return checkBound(n, args[2])
}

// counter returns the value of a node's counter; 0 if the node doesn't have it
// yet.
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

// outcomeIs makes a call of the plain service and checks its outcome.
func outcomeIs(ts *testscript.TestScript, _ *scriptState, args []string) error {
	result, err := plainSender(ts, args[0], args[2:])(context.Background())
	if err != nil {
		return err
	}
	if !oneOf(string(result.Outcome), args[1]) {
		return mismatch("outcome is %s (%s %s), want %s", result.Outcome, result.Reason, result.Message, args[1])
	}
	return nil
}

// nodeStatus is the part of a node's status that conditions use.
type nodeStatus struct {
	router.Status
	Config struct{ Objects []struct{ Key string } }
	Peers  []struct{ VM string }
}

// statusOf fetches a node's status from its operator port.
func statusOf(p *process) (nodeStatus, error) {
	var status nodeStatus
	_, body, err := fasthttp.Get(nil, "http://"+p.operators+"/status")
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(body, &status)
}

// activeDocuments checks the number of configuration documents that are active at
// a node.
func activeDocuments(ts *testscript.TestScript, st *scriptState, args []string) error {
	status, err := statusOf(st.process(ts, args[0]))
	if err != nil {
		return err
	}
	return checkBound(len(status.Config.Objects), args[1])
}

// upstream checks the state that a node reports for upstreams.
func upstream(ts *testscript.TestScript, st *scriptState, args []string) error {
	status, err := statusOf(st.process(ts, args[0]))
	if err != nil {
		return err
	}
	states := make(map[string]string)
	for _, u := range status.Upstreams {
		states[string(u.ID)] = u.State
	}
	for _, id := range args[2:] {
		if states[id] != args[1] {
			return mismatch("%s: state is %q, want %q", id, states[id], args[1])
		}
	}
	return nil
}

// peersAre checks the IDs of all peers that a node knows.
func peersAre(ts *testscript.TestScript, st *scriptState, args []string) error {
	status, err := statusOf(st.process(ts, args[0]))
	if err != nil {
		return err
	}
	var names []string
	for _, p := range status.Peers {
		names = append(names, p.VM)
	}
	slices.Sort(names)
	if !slices.Equal(names, args[1:]) {
		return mismatch("peers are %v, want %v", names, args[1:])
	}
	return nil
}
