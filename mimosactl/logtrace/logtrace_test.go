package logtrace

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const sampleLog = `
{"level":"info","vm":"v1","event":"started","time":"2026-01-01T00:00:00Z"}
{"level":"info","vm":"v1","event":"upstream_suspected","upstream":"u-old","address":"10.0.0.2:1","time":"2026-01-01T00:00:20Z"}
  3.2 v1 {"level":"info","vm":"v1","event":"upstream_suspected","upstream":"u2","address":"10.0.0.2:1","time":"2026-01-01T00:00:25Z"}
{"level":"info","vm":"v2","event":"upstream_suspected","upstream":"u2","address":"10.0.0.2:1","time":"2026-01-01T00:00:26Z"}
{"level":"info","vm":"v1","event":"configuration","version":3,"time":"2026-01-01T00:00:26Z"}
{"level":"info","vm":"v1","event":"configuration","version":4,"time":"2026-01-01T00:00:27Z"}
{"level":"info","vm":"v1","event":"upstream_seen","upstream":"u9","address":"10.0.0.9:1","time":"2026-01-01T00:00:26Z"}
{"level":"info","vm":"v1","event":"chain","request":"r1","chain":"10.0.0.1:1=0-4,10.0.0.2:1=4-8","time":"2026-01-01T00:00:30Z"}
{"level":"info","vm":"v1","event":"chain","request":"r2","chain":"10.0.0.9:1=0-8","time":"2026-01-01T00:00:30Z"}
{"level":"info","vm":"v1","event":"broken_off","request":"r1","reason":"retry_budget","time":"2026-01-01T00:00:31Z"}
not a line
{"level":"info","vm":"v1","event":"store_lost","kind":"upstreams","time":"2026-01-01T00:00:32Z"}
`

func TestTraceIncludesRelevantLines(t *testing.T) {
	trace, err := Read(strings.NewReader(sampleLog), "r1")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, line := range trace.Lines {
		got = append(got, line.VM+" "+line.Event)
	}
	want := []string{"v1 upstream_suspected", "v1 upstream_suspected", "v1 configuration", "v1 chain", "v1 broken_off"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if trace.SkippedLines != 2 {
		t.Errorf("%d lines skipped, want the blank line and the one that is not JSON", trace.SkippedLines)
	}
}

func TestUnknownRequestHasNoLines(t *testing.T) {
	trace, err := Read(strings.NewReader(sampleLog), "r7")
	if err != nil || len(trace.Lines) > 0 {
		t.Errorf("lines %v, error %v", trace.Lines, err)
	}
}
