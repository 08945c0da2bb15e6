package app

import (
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/node"
)

// serveJSON serves fixed JSON responses by path and returns its address.
func serveJSON(t *testing.T, answers map[string]any) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			value, ok := answers[string(ctx.Path())]
			if !ok {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			_ = json.NewEncoder(ctx).Encode(value)
		})
	}()
	return listener.Addr().String()
}

// unusedAddr returns an address that nothing listens on.
func unusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// statusOf returns a status with one upstream and one configuration object.
func statusOf(vm ids.VM, version int64, state string) node.Status {
	s := node.Status{
		VM:     vm,
		Zone:   "szeged-a",
		Config: node.ConfigStatus{Digest: "d", Objects: []node.ObjectStatus{{Key: "config/profile/evening", Version: version}}},
	}
	s.Ready = true
	s.Requests = 3
	s.Upstreams = []router.UpstreamStatus{{ID: "head-0", Zone: "szeged-a", Service: "drafts", State: state, InFlight: 2, Slots: 16}}
	return s
}

func TestStatus(t *testing.T) {
	one := serveJSON(t, map[string]any{"/status": statusOf("vm-1", 4, "up")})
	two := serveJSON(t, map[string]any{"/status": statusOf("vm-2", 3, "ejected")})
	stdout, _ := expectExit(t, ExitOK, "status", "--operators", one+","+two)
	var rows [][]string
	for line := range strings.Lines(stdout) {
		rows = append(rows, strings.Fields(line))
	}
	wantRows := [][]string{
		{"VM", "ZONE", "READY", "DRAINING", "REQUESTS", "WAITING", "CONFIG", "PEERS"},
		{"vm-1", "szeged-a", "true", "false", "3", "0", "d", "-"},
		{"vm-2", "szeged-a", "true", "false", "3", "0", "d", "-"},
		{},
		{"CONFIGURATION", "VERSION", "IN", "FORCE", "ON"},
		{"config/profile/evening", "3", "vm-2"},
		{"config/profile/evening", "4", "vm-1"},
		{},
		{"ZONE", "SERVICE", "UPSTREAM", "STATE", "REASON", "IN", "FLIGHT", "SLOTS", "RATE", "WEIGHT", "SEEN", "BY"},
		{"szeged-a", "drafts", "head-0", "ejected", "-", "2.0", "16", "0", "0.00", "vm-2"},
		{"szeged-a", "drafts", "head-0", "up", "-", "2.0", "16", "0", "0.00", "vm-1"},
	}
	if d := cmp.Diff(wantRows, rows); d != "" {
		t.Error(d)
	}
}

func TestStatusNamesNodesThatDoNotAnswer(t *testing.T) {
	up, down := serveJSON(t, map[string]any{"/status": statusOf("vm-1", 4, "up")}), unusedAddr(t)
	stdout, stderr := expectExit(t, ExitFailed, "--output", "json", "status", up, down)
	var s fleetStatus
	if err := json.Unmarshal([]byte(stdout), &s); err != nil {
		t.Fatal(err)
	}
	if len(s.Nodes) != 1 || len(s.Unanswered) != 1 || s.Unanswered[0].Address != down {
		t.Errorf("got %+v, want one node and %s unanswered", s, down)
	}
	if !strings.Contains(stderr, down) {
		t.Errorf("the error does not name %s: %q", down, stderr)
	}
}

func TestExplainMergesNodes(t *testing.T) {
	const early, late = "2026-05-01T17:00:00Z", "2026-05-01T17:00:01Z"
	admitted := map[string]any{"at": early, "request": "r-1", "account": "school", "step": "admitted"}
	finished := map[string]any{"at": late, "request": "r-1", "step": "finished", "attempt": 1, "outcome": "complete"}
	one := serveJSON(t, map[string]any{"/explain/r-1": []any{admitted, finished}})
	two := serveJSON(t, map[string]any{"/explain/r-1": []any{finished}})
	stdout, _ := expectExit(t, ExitOK, "--output", "json", "explain", "r-1", "--operators", two, one)
	var steps []struct{ Step string }
	if err := json.Unmarshal([]byte(stdout), &steps); err != nil {
		t.Fatal(err)
	}
	if len(steps) != 2 || steps[0].Step != "admitted" || steps[1].Step != "finished" {
		t.Errorf("steps are %v, want admitted and finished, once each", steps)
	}
	expectExit(t, ExitFailed, "explain", "r-2", "--operators", one)
	expectExit(t, ExitFailed, "explain", "r-1", "--operators", unusedAddr(t))
}

func TestSendReportsOutcome(t *testing.T) {
	refusal := map[string]any{"error": map[string]any{"outcome": "not_run", "reason": "no_upstream"}}
	refuses := serveJSON(t, map[string]any{"/v1/services/booking-api/slots": refusal})
	for name, address := range map[string]string{"refused": refuses, "not connected": unusedAddr(t)} {
		t.Run(name, func(t *testing.T) {
			stdout, _ := expectExit(t, ExitNotComplete, "--output", "json", "send",
				"--node", address, "--service", "booking-api", "--path", "/slots")
			var s sendResult
			if err := json.Unmarshal([]byte(stdout), &s); err != nil {
				t.Fatal(err)
			}
			if s.Outcome != outcome.NotRun {
				t.Errorf("outcome %q, want not_run", s.Outcome)
			}
		})
	}
}
