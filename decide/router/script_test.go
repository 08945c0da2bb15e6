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

// epoch is the time at which scripts start.
var epoch = time.Unix(1_000_000, 0)

// script passes events to a Router and records the commands it returns as text.
type script struct {
	router *Router
	now    time.Time
	text   []string
	// sent holds every Send, in order.
	sent []Send
	// polled holds the engines of every PollLoad, in order.
	polled []ids.Upstream
}

// newScript returns a script whose Router knows two engines for each half of the
// layers and one plain upstream.
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

// testConfig returns a configuration with one account, a model service and a
// plain service.
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

// vms passes a VM list with the given entry VMs and all upstreams.
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

// load passes a load report of an engine with the given first and last layer.
func (s *script) load(name string, first, last int) {
	s.step(LoadReported{At: s.now, Report: loadReport(name, first, last)})
}

// relayedLoad passes a load report in the digest of a peer.
func (s *script) relayedLoad(name string, first, last int, age time.Duration) {
	s.step(DigestReceived{VM: "vm-2", At: s.now, Digest: Digest{Loads: []LoadReport{{Report: loadReport(name, first, last), Age: age}}}})
}

// loadReport returns the load report of an engine that holds some layers.
func loadReport(name string, first, last int) engineapi.LoadReport {
	return engineapi.LoadReport{
		Engine: name, Epoch: "e-" + name, Model: "drafts", First: first, Last: last, Slots: 8, TokensPerSecond: 100,
	}
}

// step passes one event.
func (s *script) step(ev Event) {
	for _, c := range s.router.Step(s.now, ev) {
		s.record(c)
	}
}

// tick advances the time by d and passes a Tick.
func (s *script) tick(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(Tick{})
}

// record appends a command to text. It omits the engine names of a Send, because
// most tests accept any chain.
func (s *script) record(c Command) {
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
	case PollLoad:
		s.polled = append(s.polled, c.Upstream)
	}
}

// expect compares the commands since the last call with want.
func (s *script) expect(t *testing.T, want ...string) {
	t.Helper()
	if diff := cmp.Diff(strings.Join(want, "\n"), strings.Join(s.text, "\n")); diff != "" {
		t.Fatal(diff)
	}
	s.text = nil
}

// newArrival returns a request of the configured account, after an optional
// change.
func newArrival(id ids.Request, change func(*RequestArrived)) RequestArrived {
	key := sha256.Sum256([]byte("key"))
	ev := RequestArrived{ID: id, Service: "drafts", KeySHA256: hex.EncodeToString(key[:]), Fingerprint: "f-" + string(id), MaxTokens: 10}
	if change != nil {
		change(&ev)
	}
	return ev
}

// withKey adds an idempotency key to a request.
func withKey(a *RequestArrived) { a.IdempotencyKey, a.Fingerprint = "k", "f" }

// booking turns a request into a call of the plain service that may run only
// once.
func booking(a *RequestArrived) { a.Service, a.Method, a.Path = "booking", "POST", "/bookings" }

// ended ends the newest attempt sent.
func (s *script) ended(phase outcome.Phase, reason outcome.Reason) {
	last := s.sent[len(s.sent)-1]
	s.step(AttemptEnded{ID: last.ID, Attempt: last.Attempt, Phase: phase, Reason: reason, Upstream: last.Chain[0].ID})
}
