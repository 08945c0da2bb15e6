package app

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/report"
)

func TestLoadReportsOutcomes(t *testing.T) {
	refusal := map[string]any{"error": map[string]any{"outcome": "not_run", "reason": "queue_full"}}
	address := serveJSON(t, map[string]any{"/v1/services/booking-api/slots": refusal})
	plot := filepath.Join(t.TempDir(), "plot.svg")
	stdout, stderr := expectExit(t, ExitOK, "--output", "json", "load", "--nodes", address, "--rate", "200", "--for", "300ms",
		"--warmup", "100ms", "--bound", "100", "--plain-share", "1", "--write-share", "0", "--account", "a:3", "--account", "b", "--plot", plot)
	var r report.Report
	if err := json.Unmarshal([]byte(stdout), &r); err != nil {
		t.Fatal(err)
	}
	if r.Sent == 0 || r.Outcomes[outcome.NotRun] != r.Sent || r.Reasons[outcome.QueueFull] != r.Sent {
		t.Errorf("%d sent, outcomes %v, reasons %v; want all refused", r.Sent, r.Outcomes, r.Reasons)
	}
	if len(r.Accounts) != 2 || r.Bound != 100 {
		t.Errorf("accounts %v, bound %v; want two accounts and the bound given", r.Accounts, r.Bound)
	}
	if !strings.Contains(stderr, "refused") {
		t.Errorf("no progress in %q", stderr)
	}
	if _, err := os.Stat(plot); err != nil {
		t.Error(err)
	}
}

func TestLoadUsage(t *testing.T) {
	for _, args := range [][]string{
		{"load"},
		{"load", "--nodes", "127.0.0.1:1", "--for", "1s", "--warmup", "1s"},
		{"load", "--nodes", "127.0.0.1:1", "--rate", "0"},
		{"load", "--nodes", "127.0.0.1:1", "--account", "a:none"},
		{"bench", "--strategy", "best"},
		{"bench", "--load", "0"},
	} {
		expectExit(t, ExitUsage, args...)
	}
}
