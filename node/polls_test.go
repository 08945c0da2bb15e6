package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mimosaarch.example/adapter/upstream"
	"mimosaarch.example/core/engineapi"
)

// TestLoadReportIsDatedAtTheStartOfTheRequest guards against a report that is
// dated after the engine created it. If the engine crashes in between, such a
// report looks newer than the crash, so the crash is not attributed to the
// request that caused it and that request crashes further engines.
func TestLoadReportIsDatedAtTheStartOfTheRequest(t *testing.T) {
	const inFlight = 30 * time.Millisecond
	var answered time.Time
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answered = time.Now()
		time.Sleep(inFlight)
		if err := json.NewEncoder(w).Encode(engineapi.LoadReport{Engine: "e", Epoch: "1"}); err != nil {
			t.Error(err)
		}
	}))
	defer engine.Close()
	p := &fleetPoller{poller: upstream.NewPoller(time.Second)}
	seen, err := p.fetch(context.Background(), strings.TrimPrefix(engine.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	if seen.At.After(answered) {
		t.Errorf("the report is dated %s after the engine answered", seen.At.Sub(answered))
	}
}
