package entry

import (
	"testing"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/routing"
)

// newConfigs returns configs that count how often a configuration becomes active.
func newConfigs(activated *int) *configs {
	return &configs{log: zerolog.Nop(), updates: newNotifier(), onActivated: func([]ids.Service) { *activated++ }}
}

// version11 returns a configuration of version 11 with some services.
func version11(services ...ids.Service) *routing.Config {
	c := &routing.Config{Version: 11}
	for _, name := range services {
		c.Services = append(c.Services, routing.Service{Name: name})
	}
	return c
}

// Guards against nodes that keep different contents of one version, after the store has lost
// the version and the operator has written it again.
func TestLaterEpochReplacesTheSameVersion(t *testing.T) {
	activated := 0
	c := newConfigs(&activated)
	c.apply(version11("a"), 1, fromStore)
	c.apply(version11("a", "b"), 1, fromStore)
	if activated != 1 {
		t.Error("another content of the same version and epoch took effect")
	}
	c.apply(version11("a", "b"), 2, fromStore)
	if version, epoch := c.version(); activated != 2 || version != 11 || epoch != 2 {
		t.Errorf("version %d of epoch %d, active %d times", version, epoch, activated)
	}
	c.apply(version11("a"), 1, origin{peer: "vm"})
	c.apply(&routing.Config{Version: 10}, 3, fromStore)
	if version, epoch := c.version(); activated != 2 || version != 11 || epoch != 2 {
		t.Errorf("after older ones: version %d of epoch %d, active %d times", version, epoch, activated)
	}
}

// Guards against peers that send each other the same content without end.
func TestSameContentOfALaterEpochIsSentOnce(t *testing.T) {
	activated := 0
	from, to := newConfigs(&activated), newConfigs(&activated)
	from.apply(version11("a"), 2, fromStore)
	to.apply(version11("a"), 1, fromStore)
	sent := 0
	for from.newest.Load().isNewerThan(to.version()) {
		if sent++; sent > 3 {
			t.Fatal("sent again and again")
		}
		to.apply(version11("a"), 2, origin{peer: "vm"})
	}
	if sent != 1 || activated != 2 {
		t.Errorf("sent %d times, active %d times", sent, activated)
	}
	// A list of the store with the same content does not make it newer for peers.
	to.apply(version11("a"), 3, fromStore)
	if to.newest.Load().isNewerThan(from.version()) {
		t.Error("the same content is sent to peers after a list of the store")
	}
}
