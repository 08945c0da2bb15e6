package lang

import (
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptState is the state of one script: the processes, requests and tcp
// servers that it has started. Several processes may have the same name.
type scriptState struct {
	t testing.TB

	processes []*process
	requests  map[string]*request
	servers   map[string]*tcpServer
}

// newScriptState returns the state of a script that has started nothing.
func newScriptState(env *testscript.Env) *scriptState {
	return &scriptState{
		t:        env.T().(testing.TB),
		requests: make(map[string]*request),
		servers:  make(map[string]*tcpServer),
	}
}

// raceReport occurs in each report of Go's race detector.
const raceReport = "DATA RACE"

// close ends all requests, servers and processes. A data race in a process fails
// the script. If the script has failed, close logs the output of every node.
func (st *scriptState) close() {
	for _, r := range st.requests {
		r.cancel()
	}
	for _, s := range st.servers {
		s.close()
	}
	for _, p := range st.processes {
		p.kill()
	}
	for _, p := range st.processes {
		if strings.Contains(p.log(), raceReport) {
			st.t.Errorf("data race in %s:\n%s", p.name, p.log())
		}
		if st.t.Failed() && p.kind == "mimosad" {
			st.t.Logf("output of %s:\n%s", p.name, p.log())
		}
	}
	for _, r := range st.requests {
		<-r.done
	}
}

// add adds a process to the state.
func (st *scriptState) add(p *process) { st.processes = append(st.processes, p) }

// process returns the process started last under a name. An unknown name fails
// the script.
func (st *scriptState) process(ts *testscript.TestScript, name string) *process {
	for i := len(st.processes) - 1; i >= 0; i-- {
		if st.processes[i].name == name {
			return st.processes[i]
		}
	}
	ts.Fatalf("unknown process %q", name)
	return nil
}

// request returns the request with a name. An unknown name fails the script.
func (st *scriptState) request(ts *testscript.TestScript, name string) *request {
	r := st.requests[name]
	if r == nil {
		ts.Fatalf("unknown request %q", name)
	}
	return r
}
