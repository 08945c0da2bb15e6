package lang

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/mimosactl/documents"
	"mimosaarch.example/standin/control"
	standin "mimosaarch.example/standin/platform"
)

// postControl is "control NAME JSON": it changes how a spawned stand-in works.
func postControl(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: control name json")
	}
	address := worldOf(ts).process(ts, args[0]).addr
	if link := ts.Getenv(args[0] + "_control"); link != "" {
		address = link
	}
	ts.Check(control.Post(address, json.RawMessage(args[1])))
}

// roles gives the role of a spawned command's VM, and its service.
var roles = map[string]struct{ role, service string }{
	"mimosad": {role: platformapi.RoleEntry},
	"engine":  {role: platformapi.RoleEngine, service: modelService},
	"plain":   {role: platformapi.RolePlain, service: plainService},
}

// setVMs is "vms PLATFORM ENTRY...": it replaces the list of VMs. An entry is
// NAME:ZONE, NAME:ZONE:leaving, or NAME:ZONE:live:LINK where callers of the
// VM go through a spawned link; NAME is a spawned process. An argument may
// hold several entries.
func setVMs(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: vms platform-address [name:zone[:state[:link]]...]")
	}
	w := worldOf(ts)
	var list []platformapi.VM
	for _, entry := range strings.Fields(strings.Join(args[1:], " ")) {
		list = append(list, w.vm(ts, strings.Split(entry, ":")))
	}
	ts.Check(control.Put(args[0], standin.VMsControlPath, standin.VMsControl{VMs: list}))
}

// vm describes one VM of the list.
func (w *world) vm(ts *testscript.TestScript, parts []string) platformapi.VM {
	if len(parts) < 2 {
		ts.Fatalf("no zone in %q", parts)
	}
	vm := platformapi.VM{ID: parts[0], Zone: parts[1], State: platformapi.StateLive}
	if s := w.servers[parts[0]]; s != nil {
		vm.Address, vm.Role, vm.Service = s.addr(), platformapi.RolePlain, plainService
	} else {
		p := w.process(ts, parts[0])
		vm.Address, vm.Role, vm.Service = p.addr, roles[p.kind].role, roles[p.kind].service
		vm.PeerAddress = p.peers
	}
	if len(parts) > 2 {
		vm.State = parts[2]
	}
	if len(parts) > 3 {
		vm.Address = w.process(ts, parts[3]).addr
	}
	return vm
}

// newPlatform makes a client of the platform.
func newPlatform(ts *testscript.TestScript, address string) *platform.Client {
	c, err := platform.New(platform.Settings{Addresses: []string{address}})
	ts.Check(err)
	return c
}

// publish is "publish PLATFORM FILE...": it publishes documents, each over the
// version that stands.
func publish(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: publish platform-address file...")
	}
	paths := make([]string, 0, len(args)-1)
	for _, arg := range args[1:] {
		paths = append(paths, ts.MkAbs(arg))
	}
	files, err := documents.ReadAll(paths)
	ts.Check(err)
	c := newPlatform(ts, args[0])
	defer c.Close()
	_, err = documents.Publish(context.Background(), c, files, documents.AnyVersion, documents.NewChangeID())
	ts.Check(err)
}

// putObject is "object PLATFORM KEY FILE": it writes any value to the store.
func putObject(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: object platform-address key file")
	}
	data, err := os.ReadFile(ts.MkAbs(args[2]))
	ts.Check(err)
	c := newPlatform(ts, args[0])
	defer c.Close()
	var missing *platform.NotFoundError
	stands, err := c.Get(context.Background(), args[1])
	if !errors.As(err, &missing) {
		ts.Check(err)
	}
	_, err = c.Put(context.Background(), args[1], data, stands.Version)
	ts.Check(err)
}
