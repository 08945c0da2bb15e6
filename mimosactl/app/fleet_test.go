package app

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/node"
	"mimosaarch.example/node/settings"
	"mimosaarch.example/standin/engine"
	standins "mimosaarch.example/standin/fleet"
)

// startFleet starts the stand-ins and a node, publishes the demo's documents with
// mimosactl and waits until the node is ready.
func startFleet(t *testing.T) *node.Node {
	t.Helper()
	f, err := standins.Start(standins.Small())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	t.Setenv("MIMOSACTL_PLATFORM", f.Platform.Addr())
	const config = "../demo/config/"
	expectExit(t, ExitOK, "profile", "publish",
		config+"accounts.yaml", config+"booking.yaml", config+"drafts.yaml", config+"profile.yaml")
	s := settings.Settings{
		VM:       "szeged-a-1",
		Zone:     "szeged-a",
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Platform: []string{f.Platform.Addr()},
	}
	n, err := node.Start(s.WithDefaults(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !n.Ready() {
		select {
		case <-t.Context().Done():
			t.Fatal("the node did not become ready")
		case <-ticker.C:
		}
	}
	return n
}

// parseJSON parses the JSON output of a command.
func parseJSON[T any](t *testing.T, text string) T {
	t.Helper()
	var value T
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatalf("%v in %q", err, text)
	}
	return value
}

func TestSendStatusAndExplainWithANode(t *testing.T) {
	n := startFleet(t)
	t.Setenv("MIMOSACTL_OPERATORS", n.OperatorAddr())
	t.Setenv("MIMOSACTL_NODE", n.CallerAddr())
	t.Setenv("MIMOSACTL_ACCOUNT_KEY", "demo-key")

	stdout, _ := expectExit(t, ExitOK, "--output", "json", "send", "--service", standins.ModelService, "--max-tokens", "5", "slots of Ms Nagy")
	answer := parseJSON[sendResult](t, stdout)
	expected := engine.Answer([]engineapi.Message{{Role: "user", Content: "slots of Ms Nagy"}}, 5)
	if answer.Outcome != outcome.Complete || answer.Text != expected || answer.Request == "" {
		t.Errorf("answer is %+v, want %q", answer, expected)
	}
	expectExit(t, ExitOK, "send", "--service", standins.PlainService, "--path", "/bookings", "--method", "POST",
		"--body", `{"slot":"17:10"}`, "--idempotency-key", "k1")
	expectExit(t, ExitNotComplete, "send", "--service", "nothing", "slots")

	stdout, _ = expectExit(t, ExitOK, "--output", "json", "explain", string(answer.Request))
	steps := parseJSON[[]router.Decision](t, stdout)
	if len(steps) < 3 || steps[0].Step != router.StepAdmitted || steps[len(steps)-1].Step != router.StepFinished {
		t.Errorf("decisions are %+v, want admitted first and finished last", steps)
	}
	expectExit(t, ExitFailed, "explain", "szeged-a-1-none-1")

	stdout, _ = expectExit(t, ExitOK, "--output", "json", "status")
	s := parseJSON[fleetStatus](t, stdout)
	if len(s.Nodes) != 1 || !s.Nodes[0].Ready || len(s.Nodes[0].Upstreams) != 12 || len(s.Nodes[0].Config.Objects) != 4 {
		t.Errorf("status is %s, want a ready node with 12 upstreams and 4 documents", stdout)
	}
	stdout, _ = expectExit(t, ExitOK, "status")
	t.Log(stdout)
}
