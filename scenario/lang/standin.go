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

// postControl is the command "control NAME JSON". It changes the behavior of a
// spawned stand-in, for example to inject a failure.
func postControl(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: control name json")
	}
	address := stateOf(ts).process(ts, args[0]).addr
	if controlAddr := ts.Getenv(args[0] + "_control"); controlAddr != "" {
		address = controlAddr
	}
	ts.Check(control.Post(address, json.RawMessage(args[1])))
}

// roles maps each command that can be spawned to its role in the VM list and, if it
// is an upstream, the service that it serves.
var roles = map[string]struct{ role, service string }{
	"mimosad": {role: platformapi.RoleEntry},
	"engine":  {role: platformapi.RoleEngine, service: modelService},
	"plain":   {role: platformapi.RolePlain, service: plainService},
}

// setVMs is the command "vms PLATFORM ENTRY...". It replaces the platform's VM
// list. An entry is NAME:ZONE, NAME:ZONE:STATE or NAME:ZONE:STATE:LINK, where NAME
// is a spawned process or a tcp server, and STATE is live or leaving. With LINK
// the VM's address is that of a spawned link. An argument may hold several
// entries, separated by spaces.
func setVMs(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: vms platform-address [name:zone[:state[:link]]...]")
	}
	st := stateOf(ts)
	var list []platformapi.VM
	for _, entry := range strings.Fields(strings.Join(args[1:], " ")) {
		list = append(list, st.vm(ts, strings.Split(entry, ":")))
	}
	ts.Check(control.Put(args[0], standin.VMsControlPath, standin.VMsControl{VMs: list}))
}

// vm returns the entry of the VM list that the parts of an ENTRY describe.
func (st *scriptState) vm(ts *testscript.TestScript, parts []string) platformapi.VM {
	if len(parts) < 2 {
		ts.Fatalf("VM entry %q has no zone", parts)
	}
	vm := platformapi.VM{ID: parts[0], Zone: parts[1], State: platformapi.StateLive}
	if s := st.servers[parts[0]]; s != nil {
		vm.Address, vm.Role, vm.Service = s.addr(), platformapi.RolePlain, plainService
	} else {
		p := st.process(ts, parts[0])
		vm.Address, vm.Role, vm.Service = p.addr, roles[p.kind].role, roles[p.kind].service
		vm.PeerAddress = p.peers
	}
	if len(parts) > 2 {
		vm.State = parts[2]
	}
	if len(parts) > 3 {
		vm.Address = st.process(ts, parts[3]).addr
	}
	return vm
}

// newPlatform returns a client of the platform at an address.
func newPlatform(ts *testscript.TestScript, address string) *platform.Client {
	c, err := platform.New(platform.Settings{Addresses: []string{address}})
	ts.Check(err)
	return c
}

// publish is the command "publish PLATFORM FILE...". It publishes configuration
// documents as mimosactl does, each over its current version, whichever that is.
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

// putObject is the command "object PLATFORM KEY FILE". It writes the bytes of a
// file to the platform's store without checking them.
func putObject(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: object platform-address key file")
	}
	data, err := os.ReadFile(ts.MkAbs(args[2]))
	ts.Check(err)
	c := newPlatform(ts, args[0])
	defer c.Close()
	var missing *platform.NotFoundError
	current, err := c.Get(context.Background(), args[1])
	if !errors.As(err, &missing) {
		ts.Check(err)
	}
	_, err = c.Put(context.Background(), args[1], data, current.Version)
	ts.Check(err)
}
