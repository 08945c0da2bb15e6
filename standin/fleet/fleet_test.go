package fleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/standin/control"
	"mimosaarch.example/standin/engine"
)

// start starts a fleet and closes it at the end of the test.
func start(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	f, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// newChain returns the chain of the engines with the given IDs.
func newChain(f *Fleet, cfg Config, ids ...string) []engineapi.Stage {
	var chain []engineapi.Stage
	for _, id := range ids {
		for _, spec := range cfg.Engines {
			if spec.Engine.ID == id {
				stage := engineapi.Stage{Engine: id, Address: f.Engine(id).Addr()}
				stage.First, stage.Last = spec.Engine.First, spec.Engine.Last
				chain = append(chain, stage)
			}
		}
	}
	return chain
}

// runRequest runs a request for n tokens and returns the done event of its stream, or
// nil if there was none.
func runRequest(client *fasthttp.Client, request string, n int, chain []engineapi.Stage) *engineapi.Done {
	body, _ := json.Marshal(engineapi.ChatRequest{
		Model:     ModelService,
		Messages:  []engineapi.Message{{Role: "user", Content: request}},
		MaxTokens: n,
		Request:   request,
		Chain:     chain,
	})
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + chain[0].Address + engineapi.ChatPath)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return nil
	}
	var done *engineapi.Done
	scanner := bufio.NewScanner(resp.BodyStream())
	isDone := false
	for scanner.Scan() {
		line := scanner.Text()
		if data, ok := strings.CutPrefix(line, "data: "); ok && isDone {
			_ = json.Unmarshal([]byte(data), &done)
		}
		isDone = line == "event: "+engineapi.DoneEvent
	}
	_ = resp.CloseBodyStream()
	return done
}

// publishedVMs reads the list of VMs over HTTP and returns it by ID.
func publishedVMs(t *testing.T, f *Fleet) map[string]platformapi.VM {
	t.Helper()
	var list platformapi.VMList
	if err := control.Get(f.Platform.Addr(), platformapi.VMsPath, &list); err != nil {
		t.Fatal(err)
	}
	out := make(map[string]platformapi.VM)
	for _, vm := range list.VMs {
		out[vm.ID] = vm
	}
	return out
}

func TestSmallServes(t *testing.T) {
	cfg := Small()
	f := start(t, cfg)
	client := &fasthttp.Client{StreamResponseBody: true}
	for _, zone := range zoneNames {
		// Chains may cross zones.
		chain := newChain(f, cfg, "head-"+zone+"-0", "mid-szeged-b-0", "tail-"+zone+"-0")
		if done := runRequest(client, zone, 10, chain); done == nil || done.Tokens != 10 {
			t.Errorf("%s: %+v", zone, done)
		}
		if f.Plain("booking-"+zone) == nil {
			t.Errorf("%s has no plain upstream", zone)
		}
	}
	f.Publish(platformapi.VM{ID: "entry-1", Role: platformapi.RoleEntry})
	vms := publishedVMs(t, f)
	if len(vms) != 9+3+1 || len(f.VMs()) != 9+3 {
		t.Errorf("%d VMs listed, %d own", len(vms), len(f.VMs()))
	}
	vm := vms["mid-kecskemet-0"]
	want := platformapi.VM{
		ID: "mid-kecskemet-0", Address: f.Engine("mid-kecskemet-0").Addr(), Zone: "kecskemet",
		Role: platformapi.RoleEngine, State: platformapi.StateLive, Service: ModelService,
	}
	if vm != want {
		t.Errorf("listed %+v, want %+v", vm, want)
	}
}

func TestKillRestartAndUnpublish(t *testing.T) {
	cfg := Small()
	f := start(t, cfg)
	const id = "head-szeged-a-0"
	before := f.Engine(id)
	if err := errors.Join(f.MarkLeaving(id), f.Kill(id), f.Unpublish("booking-szeged-a")); err != nil {
		t.Fatal(err)
	}
	vms := publishedVMs(t, f)
	if _, ok := vms["booking-szeged-a"]; ok || vms[id].State != platformapi.StateLeaving {
		t.Errorf("listed %+v", vms)
	}
	if err := control.Get(before.Addr(), engineapi.LoadPath, nil); err == nil {
		t.Error("a killed engine still answers")
	}
	if err := f.Restart(id); err != nil {
		t.Fatal(err)
	}
	after := f.Engine(id)
	if after.Addr() != before.Addr() || after.Epoch() == before.Epoch() || publishedVMs(t, f)[id].State != platformapi.StateLive {
		t.Errorf("restarted at %s, epoch %s", after.Addr(), after.Epoch())
	}
	if err := control.Get(after.Addr(), engineapi.LoadPath, nil); err != nil {
		t.Error(err)
	}
	var unknown *UnknownUpstreamError
	if err := f.Kill("none"); !errors.As(err, &unknown) {
		t.Errorf("error %v", err)
	}
}

func TestLargeIsComplete(t *testing.T) {
	cfg := Large(1)
	if len(cfg.Engines) != 30 || len(cfg.Plains) != 3 {
		t.Fatalf("%d engines, %d plain upstreams", len(cfg.Engines), len(cfg.Plains))
	}
	byID := make(map[string]engine.Config)
	for _, spec := range cfg.Engines {
		byID[spec.Engine.ID] = spec.Engine
	}
	for _, spec := range cfg.Engines {
		e := spec.Engine
		if isTail := e.Last == cfg.Layers-1; isTail != (len(e.Links) == 0) {
			t.Errorf("%s has %d links", e.ID, len(e.Links))
		}
		for _, l := range e.Links {
			if to, ok := byID[l.To]; !ok || to.First != e.Last+1 {
				t.Errorf("%s links to %s", e.ID, l.To)
			}
		}
	}
	if half := Large(0.5); half.Engines[0].Engine.Rate*2 != cfg.Engines[0].Engine.Rate {
		t.Error("rates don't follow the scale")
	}
}
