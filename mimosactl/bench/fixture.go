package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/mimosactl/documents"
	"mimosaarch.example/node"
	"mimosaarch.example/node/settings"
	standins "mimosaarch.example/standin/fleet"
)

// Names, addresses and limits of a bench run.
const (
	anyPort               = "127.0.0.1:0"
	profileName           = "bench"
	accountRequestsPerSec = 100000
	readyTimeout          = 20 * time.Second
	requestDeadline       = time.Minute
)

// account is a client account of the generated requests.
type account struct {
	id     ids.Account
	key    string
	weight int
}

// accounts have unequal weights, so that the load includes large and small
// accounts.
var accounts = [...]account{
	{id: "szeged-district", key: "bench-key-1", weight: 6},
	{id: "kecskemet-district", key: "bench-key-2", weight: 3},
	{id: "village-school", key: "bench-key-3", weight: 1},
}

// fixture holds the stand-ins and nodes of a bench run.
type fixture struct {
	options  Options
	config   standins.Config
	standins *standins.Fleet
	nodes    []*node.Node
	vms      []platformapi.VM
	// stopped holds the nodes that the injected failure stopped.
	stopped map[*node.Node]bool
}

// start starts the stand-ins and nodes, publishes the configuration and waits
// until all nodes are ready.
func (f *fixture) start(ctx context.Context) error {
	running, err := standins.Start(f.config)
	if err != nil {
		return err
	}
	f.standins = running
	if err := f.publish(ctx); err != nil {
		return err
	}
	for i := range f.options.Nodes {
		if err := f.startNode(i); err != nil {
			return err
		}
	}
	f.standins.Publish(f.vms...)
	return f.waitReady(ctx)
}

// close stops the nodes and stand-ins that are running.
func (f *fixture) close() {
	for _, n := range f.nodes {
		if !f.stopped[n] {
			n.Close()
		}
	}
	if f.standins != nil {
		f.standins.Close()
	}
}

// publish writes the configuration to the platform.
func (f *fixture) publish(ctx context.Context) error {
	client, err := platform.New(platform.Settings{Addresses: []string{f.standins.Platform.Addr()}})
	if err != nil {
		return err
	}
	defer client.Close()
	var files []documents.File
	for _, doc := range f.documents() {
		files = append(files, documents.File{Path: "bench", Document: doc})
	}
	_, err = documents.Publish(ctx, client, files, 0, documents.NewChangeID())
	return err
}

// documents returns the configuration documents of the bench run.
func (f *fixture) documents() []fleet.Document {
	profile := fleet.Profile{
		Kind:          fleet.KindProfile,
		Name:          profileName,
		Strategy:      f.options.Strategy,
		TokenInterval: fleet.Duration(f.options.TokenInterval),
		Deadline:      fleet.Duration(requestDeadline),
	}
	model := fleet.Service{
		Kind:    fleet.KindService,
		Name:    standins.ModelService,
		Type:    fleet.ServiceModel,
		Profile: profileName,
		Layers:  f.config.Layers,
	}
	plain := fleet.Service{
		Kind:    fleet.KindService,
		Name:    standins.PlainService,
		Type:    fleet.ServicePlain,
		Profile: profileName,
		Routes:  []fleet.Route{{Method: "GET", Prefix: "/slots"}, {Method: "POST", Prefix: "/bookings"}},
	}
	shard := fleet.Accounts{Kind: fleet.KindAccounts, Name: "bench"}
	for _, a := range accounts {
		hash := sha256.Sum256([]byte(a.key))
		shard.Accounts = append(shard.Accounts, fleet.Account{
			ID:        a.id,
			KeySHA256: hex.EncodeToString(hash[:]),
			Rate:      accountRequestsPerSec,
			Weight:    a.weight,
		})
	}
	return []fleet.Document{profile.WithDefaults(), model, plain.WithDefaults(), shard.WithDefaults()}
}

// startNode starts the i-th node. Nodes are assigned to zones in rotation.
func (f *fixture) startNode(i int) error {
	zones := f.zones()
	zone := zones[i%len(zones)]
	vm := fmt.Sprintf("%s-%d", zone, i/len(zones)+1)
	s := settings.Settings{
		VM:       vm,
		Zone:     zone,
		Listen:   settings.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort},
		Platform: []string{f.standins.Platform.Addr()},
	}
	n, err := node.Start(s.WithDefaults(), f.options.Log)
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	f.vms = append(f.vms, platformapi.VM{
		ID:          vm,
		Address:     n.CallerAddr(),
		PeerAddress: n.PeerAddr(),
		Zone:        zone,
		Role:        platformapi.RoleEntry,
		State:       platformapi.StateLive,
	})
	return nil
}

// zones returns the stand-ins' zones in order of first use.
func (f *fixture) zones() []string {
	var out []string
	seen := make(map[string]bool)
	for _, e := range f.config.Engines {
		if !seen[e.Zone] {
			seen[e.Zone] = true
			out = append(out, e.Zone)
		}
	}
	return out
}

// addresses returns the nodes' caller addresses.
func (f *fixture) addresses() []string {
	out := make([]string, len(f.nodes))
	for i, n := range f.nodes {
		out[i] = n.CallerAddr()
	}
	return out
}

// waitReady waits until every node has configuration and upstreams.
func (f *fixture) waitReady(ctx context.Context) error {
	ctx, done := context.WithTimeout(ctx, readyTimeout)
	defer done()
	for _, n := range f.nodes {
		if err := n.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
