package router

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/platformapi"
)

// epoch is the time at which scripts begin.
var epoch = time.Unix(1_000_000, 0)

// script feeds a Router events and keeps the commands it gave as text.
type script struct {
	router *Router
	now    time.Time
	text   []string
	// sent holds each Send, in order.
	sent []Send
}

// newScript makes a Router that knows two chains of two engines and one plain
// upstream.
func newScript() *script {
	s := &script{
		router: New(Options{VM: "vm-1", Zone: "a", MaxRequests: 100, Seed: 1}),
		now:    epoch,
	}
	s.router.Step(s.now, ConfigReceived{Config: testConfig()})
	s.vms("vm-1", "vm-2")
	for _, name := range []string{"head-1", "head-2"} {
		s.load(name, 0, 3)
	}
	for _, name := range []string{"tail-1", "tail-2"} {
		s.load(name, 4, 7)
	}
	s.tick(TickInterval)
	s.text = nil
	return s
}

// testConfig has one account, a model and a plain service.
func testConfig() *Config {
	key := sha256.Sum256([]byte("key"))
	account := fleet.Account{ID: "school", Rate: 1000}.WithDefaults()
	policy := fleet.DefaultProfile()
	policy.Name = "p"
	policy.Deadline = fleet.Duration(10 * time.Second)
	return &Config{
		Profiles: map[ids.Profile]fleet.Profile{"p": policy},
		Services: map[ids.Service]fleet.Service{
			"drafts": {Name: "drafts", Type: fleet.ServiceModel, Profile: "p", Layers: 8},
			"booking": {Name: "booking", Type: fleet.ServicePlain, Profile: "p", Routes: []fleet.Route{
				{Method: "POST", Prefix: "/bookings"}, {Method: "GET", Prefix: "/slots"},
			}},
		},
		AccountsByKey: map[string]fleet.Account{hex.EncodeToString(key[:]): account},
	}
}

// vms tells the Router the VM list with the given entry VMs.
func (s *script) vms(entry ...string) {
	list := platformapi.VMList{Revision: s.router.vmsRevision + 1}
	for _, id := range entry {
		list.VMs = append(list.VMs, platformapi.VM{ID: id, Zone: "a", Role: platformapi.RoleEntry, State: platformapi.StateLive})
	}
	for _, id := range []string{"head-1", "head-2", "tail-1", "tail-2"} {
		list.VMs = append(list.VMs, platformapi.VM{ID: id, Address: id, Zone: "a", Role: platformapi.RoleEngine, State: platformapi.StateLive, Service: "drafts"})
	}
	list.VMs = append(list.VMs, platformapi.VM{ID: "plain-1", Address: "plain-1", Zone: "a", Role: platformapi.RolePlain, State: platformapi.StateLive, Service: "booking"})
	s.step(VMListReceived{List: list})
}

// load tells the Router an engine's report.
func (s *script) load(name string, first, last int) {
	s.step(LoadReported{At: s.now, Report: engineapi.LoadReport{
		Engine: name, Epoch: "e-" + name, Model: "drafts", First: first, Last: last, Slots: 8, TokensPerSecond: 100,
	}})
}

// step feeds one event.
func (s *script) step(ev Event) {
	for _, c := range s.router.Step(s.now, ev) {
		s.keep(c)
	}
}

// tick lets time pass.
func (s *script) tick(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(Tick{})
}

// keep notes a command as text; the engines' names are left out where which
// of them is taken is not the point.
func (s *script) keep(c Command) {
	switch c := c.(type) {
	case Send:
		s.sent = append(s.sent, c)
		line := fmt.Sprintf("send %s attempt %d", c.ID, c.Attempt)
		if c.Resume != nil {
			line = fmt.Sprintf("resume %s attempt %d of %s at %s", c.ID, c.Resume.Attempt, c.Resume.Request, c.Chain[0].ID)
		}
		s.text = append(s.text, line)
	case Cancel:
		s.text = append(s.text, fmt.Sprintf("cancel %s attempt %d", c.ID, c.Attempt))
	case CancelStream:
		s.text = append(s.text, fmt.Sprintf("cancel stream %s at %s", c.Stream, c.Address))
	case Claim:
		line := fmt.Sprintf("claim %s for %s attempt %d", c.Record.Key, c.ID, c.Record.Attempt)
		if c.Over != nil {
			line += " over " + string(c.Over.Request)
		}
		s.text = append(s.text, line)
	case Release:
		s.text = append(s.text, fmt.Sprintf("release %s", c.Record.Key))
	case Settle:
		s.text = append(s.text, fmt.Sprintf("settle %s", c.Record.Key))
	case Finish:
		line := fmt.Sprintf("finish %s complete", c.ID)
		if c.Err != nil {
			line = fmt.Sprintf("finish %s %s %s", c.ID, c.Err.Outcome, c.Err.Reason)
		}
		s.text = append(s.text, line)
	}
}

// expect compares the commands since the last call.
func (s *script) expect(t *testing.T, want ...string) {
	t.Helper()
	if diff := cmp.Diff(strings.Join(want, "\n"), strings.Join(s.text, "\n")); diff != "" {
		t.Fatal(diff)
	}
	s.text = nil
}

// arrive makes a request of the known account.
func arrive(id ids.Request, change func(*RequestArrived)) RequestArrived {
	key := sha256.Sum256([]byte("key"))
	ev := RequestArrived{ID: id, Service: "drafts", KeySHA256: hex.EncodeToString(key[:]), Fingerprint: "f-" + string(id), MaxTokens: 10}
	if change != nil {
		change(&ev)
	}
	return ev
}

// withKey gives a request an idempotency key.
func withKey(a *RequestArrived) { a.IdempotencyKey, a.Fingerprint = "k", "f" }

// booking makes it a call of the plain service that may not be repeated.
func booking(a *RequestArrived) { a.Service, a.Method, a.Path = "booking", "POST", "/bookings" }

// ended makes the end of the newest attempt sent.
func (s *script) ended(phase outcome.Phase, reason outcome.Reason) {
	last := s.sent[len(s.sent)-1]
	s.step(AttemptEnded{ID: last.ID, Attempt: last.Attempt, Phase: phase, Reason: reason, Upstream: last.Chain[0].ID})
}
