package settings

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/fleet"
)

const valid = `
vm: szeged-a-1
zone: szeged-a
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8082
platform: ["127.0.0.1:9000"]
poll_interval: 100ms
`

func TestParseFillsDefaults(t *testing.T) {
	got, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		VM: "szeged-a-1", Zone: "szeged-a",
		Listen:         Listen{Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8082"},
		Platform:       []string{"127.0.0.1:9000"},
		MaxRequests:    4096,
		MaxBodyBytes:   1 << 20,
		MaxHeldBytes:   64 << 20,
		MaxConnections: 8192,
		PollInterval:   100 * time.Millisecond,
		VMListInterval: time.Second,
		DrainTimeout:   10 * time.Minute,
		Records:        20000,
		LogLevel:       "info",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestParseNamesEveryViolation(t *testing.T) {
	bad := `
vm: "two words"
listen:
  callers: localhost:8080
platform: []
poll_interval: 1ms
max_body: lots
colour: red
`
	_, err := Parse([]byte(bad))
	var invalid *fleet.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	paths := make(map[string]int)
	for _, v := range invalid.Violations {
		paths[v.Path] = v.Line
	}
	for path, line := range map[string]int{
		"vm": 2, "zone": 0, "listen.callers": 4, "listen.operators": 0, "platform": 5, "poll_interval": 6,
	} {
		if got, ok := paths[path]; !ok || got != line {
			t.Errorf("violation of %s at line %d (found %v), want line %d", path, got, ok, line)
		}
	}
	if len(invalid.Violations) != 8 {
		t.Errorf("%d violations, want 8: %v", len(invalid.Violations), err)
	}
}

// Guards against bodies of the largest size that are never served, since they do not fit.
func TestHeldBytesHoldTheLargestBody(t *testing.T) {
	const others = "vm: v\nzone: z\nlisten: {callers: \"127.0.0.1:1\", operators: \"127.0.0.1:2\"}\nplatform: [\"127.0.0.1:3\"]\n"
	for text, valid := range map[string]bool{
		"max_held: 4194304\n":                        true,
		"max_held: 4194303\n":                        false,
		"max_held: 4194303\nmax_body: 1048575\n":     true,
		"max_body: 67108864\n":                       true,
		"max_body: 67108864\nmax_held: 268435455\n":  false,
		"max_connections: 1048576\n":                 true,
		"max_connections: 1048577\nmax_body: 1000\n": false,
	} {
		s, err := Parse([]byte(others + text))
		if (err == nil) != valid {
			t.Errorf("%q: %v", text, err)
		}
		if err == nil && s.MaxHeldBytes < heldPerBody*s.MaxBodyBytes {
			t.Errorf("%q: %d bytes for bodies of %d", text, s.MaxHeldBytes, s.MaxBodyBytes)
		}
	}
}
