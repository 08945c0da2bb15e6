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

// Guards against crashes that are doubted since a report from before them was read after
// them: a request that crashes engines then runs on further ones.
func TestReportIsOfTheTimeAtWhichItWasAskedFor(t *testing.T) {
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
		t.Errorf("a report of %s after the engine answered", seen.At.Sub(answered))
	}
}
