package lang

import (
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// world is what one script has started.
type world struct {
	t testing.TB

	processes []*process
	requests  map[string]*request
	servers   map[string]*tcpServer
}

// newWorld makes an empty one.
func newWorld(env *testscript.Env) *world {
	return &world{
		t:        env.T().(testing.TB),
		requests: make(map[string]*request),
		servers:  make(map[string]*tcpServer),
	}
}

// raceReport starts a report of the race detector.
const raceReport = "DATA RACE"

// close kills what still runs. A data race in any process fails the script; of
// a failed script the output of every node is shown.
func (w *world) close() {
	for _, r := range w.requests {
		r.cancel()
	}
	for _, s := range w.servers {
		s.close()
	}
	for _, p := range w.processes {
		p.kill()
	}
	for _, p := range w.processes {
		if strings.Contains(p.log(), raceReport) {
			w.t.Errorf("data race in %s:\n%s", p.name, p.log())
		}
		if w.t.Failed() && p.kind == "mimosad" {
			w.t.Logf("output of %s:\n%s", p.name, p.log())
		}
	}
	for _, r := range w.requests {
		<-r.done
	}
}

// add notes a process.
func (w *world) add(p *process) { w.processes = append(w.processes, p) }

// process gives the newest process of a name.
func (w *world) process(ts *testscript.TestScript, name string) *process {
	for i := len(w.processes) - 1; i >= 0; i-- {
		if w.processes[i].name == name {
			return w.processes[i]
		}
	}
	ts.Fatalf("no process %q", name)
	return nil
}

// request gives a request by its name.
func (w *world) request(ts *testscript.TestScript, name string) *request {
	r := w.requests[name]
	if r == nil {
		ts.Fatalf("no request %q", name)
	}
	return r
}
