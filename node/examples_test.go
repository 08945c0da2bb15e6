package node_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/node/settings"
)

// deployments are the example deployments and their availability zones.
var deployments = map[string][]string{
	"fogadoora": {"kecskemet", "szeged-a", "szeged-b"},
	"woan":      {"abeokuta-hall", "ibadan-hall", "ikeja-hall"},
}

// documentationPrefixes are the IP prefixes reserved for documentation that the
// examples may use.
var documentationPrefixes = []netip.Prefix{
	netip.MustParsePrefix("192.0.2.0/24"),
	netip.MustParsePrefix("198.51.100.0/24"),
}

// readYAML reads the YAML files of a directory. The keys are file names without
// extension.
func readYAML(t *testing.T, dir ...string) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(append(dir, "*.yaml")...))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no files in %v: %v", dir, err)
	}
	files := make(map[string][]byte)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		files[strings.TrimSuffix(filepath.Base(path), ".yaml")] = data
	}
	return files
}

// exampleSettings parses the settings files of a deployment, by file name.
func exampleSettings(t *testing.T, deployment string) map[string]settings.Settings {
	t.Helper()
	all := make(map[string]settings.Settings)
	for name, data := range readYAML(t, "..", "examples", deployment, "settings") {
		s, err := settings.Parse(data)
		if err != nil {
			t.Errorf("%s/%s: %v", deployment, name, err)
		}
		all[name] = s
	}
	return all
}

// TestExampleSettings checks that each deployment has valid settings for one VM
// of each zone, that all names and addresses are unique and that the peers are
// other nodes of the deployment.
func TestExampleSettings(t *testing.T) {
	for deployment, zones := range deployments {
		all := exampleSettings(t, deployment)
		owners := make(map[string]string)
		peers := make(map[string]string)
		for _, zone := range zones {
			s := all[zone]
			if s.Zone != zone || s.TLS == nil || len(s.Peers) == 0 {
				t.Errorf("%s/%s: zone %q, tls %v, peers %v", deployment, zone, s.Zone, s.TLS, s.Peers)
			}
			peers[s.Listen.Peers] = zone
			for _, own := range []string{s.VM, s.Listen.Callers, s.Listen.Operators, s.Listen.Peers} {
				if other, taken := owners[own]; taken {
					t.Errorf("%s: %s is used by %s and %s", deployment, own, other, zone)
				}
				owners[own] = zone
			}
			for _, address := range slices.Concat(s.Platform, s.Peers, []string{s.Listen.Callers, s.Listen.Operators, s.Listen.Peers}) {
				checkAddress(t, deployment+"/"+zone, address)
			}
		}
		for zone, s := range all {
			for _, peer := range s.Peers {
				if other, known := peers[peer]; !known || other == zone {
					t.Errorf("%s/%s: peer %s belongs to zone %q", deployment, zone, peer, other)
				}
			}
		}
		if len(all) != len(zones) {
			t.Errorf("%s: %d files of settings for %d zones", deployment, len(all), len(zones))
		}
	}
}

// checkAddress requires an IP address and port reserved for documentation.
func checkAddress(t *testing.T, where, address string) {
	t.Helper()
	at, err := netip.ParseAddrPort(address)
	inside := func(net netip.Prefix) bool { return net.Contains(at.Addr()) }
	if err != nil || !slices.ContainsFunc(documentationPrefixes, inside) {
		t.Errorf("%s: %s is not an address reserved for documentation", where, address)
	}
}

// documents are the configuration documents of one deployment.
type documents struct {
	profiles map[ids.Profile]fleet.Profile
	services map[ids.Service]fleet.Service
	accounts []fleet.Account
}

// exampleDocuments parses the documents of a deployment.
func exampleDocuments(t *testing.T, deployment string) documents {
	t.Helper()
	d := documents{profiles: map[ids.Profile]fleet.Profile{}, services: map[ids.Service]fleet.Service{}}
	for name, data := range readYAML(t, "..", "examples", deployment, "documents") {
		doc, err := fleet.Parse(data)
		if err != nil {
			t.Errorf("%s/%s: %v", deployment, name, err)
		}
		switch doc := doc.(type) {
		case fleet.Profile:
			d.profiles[doc.Name] = doc
		case fleet.Service:
			d.services[doc.Name] = doc
		case fleet.Accounts:
			d.accounts = append(d.accounts, doc.Accounts...)
		}
	}
	return d
}

// TestExampleDocuments checks that every document is valid, that services refer
// to existing profiles and that accounts refer to existing services.
func TestExampleDocuments(t *testing.T) {
	names := map[string][2]ids.Service{
		"fogadoora": {"mimosa-drafts", "booking-api"},
		"woan":      {"mimosa-desk", "ticket-api"},
	}
	for deployment := range deployments {
		d := exampleDocuments(t, deployment)
		model, plain := d.services[names[deployment][0]], d.services[names[deployment][1]]
		if model.Type != fleet.ServiceModel || plain.Type != fleet.ServicePlain || len(d.services) != 2 {
			t.Errorf("%s: services %v", deployment, d.services)
		}
		for name, s := range d.services {
			if _, ok := d.profiles[s.Profile]; !ok {
				t.Errorf("%s: service %s has profile %q, which does not exist", deployment, name, s.Profile)
			}
		}
		if len(d.accounts) < 10 {
			t.Errorf("%s: %d accounts", deployment, len(d.accounts))
		}
		for _, a := range d.accounts {
			sum := sha256.Sum256([]byte("example-key-" + string(a.ID)))
			if a.KeySHA256 != hex.EncodeToString(sum[:]) {
				t.Errorf("%s: the key of account %s differs from the comment", deployment, a.ID)
			}
			for _, service := range a.Services {
				if _, ok := d.services[service]; !ok {
					t.Errorf("%s: account %s may call service %q, which does not exist", deployment, a.ID, service)
				}
			}
		}
	}
}

// TestExampleProfilesDiffer checks that one deployment's model profile favors
// throughput and the other's favors recovery.
func TestExampleProfilesDiffer(t *testing.T) {
	throughput := exampleDocuments(t, "fogadoora").profiles["evening"]
	recovery := exampleDocuments(t, "woan").profiles["desk"]
	holds := map[string]bool{
		"stall_after":     recovery.StallAfter < throughput.StallAfter,
		"health.failures": recovery.Health.Failures < throughput.Health.Failures,
		"retry.attempts":  recovery.Retry.Attempts > throughput.Retry.Attempts,
		"retry.budget":    recovery.Retry.BudgetRatio > throughput.Retry.BudgetRatio,
		"queue.length":    recovery.Queue.Length < throughput.Queue.Length,
		"strategy":        recovery.Strategy == fleet.StrategyFlow && throughput.Strategy == fleet.StrategyFlow,
	}
	for field, ok := range holds {
		if !ok {
			t.Errorf("%s does not differ as intended: %+v and %+v", field, throughput, recovery)
		}
	}
}

// field is a documented YAML field: its path and its default, or nil if it has
// none.
type field struct {
	path string
	def  any
}

// isShownIn reports whether a table cell starts with the field's default. For a
// field without a default, the cell must not be empty.
func (f field) isShownIn(cell string) bool {
	word, _, _ := strings.Cut(strings.TrimSpace(cell), ",")
	switch def := f.def.(type) {
	case nil:
		return word != ""
	case time.Duration:
		shown, err := time.ParseDuration(word)
		return err == nil && shown == def
	case fleet.Duration:
		return field{def: def.D()}.isShownIn(cell)
	}
	return word == fmt.Sprint(f.def)
}

// fieldsOf lists the YAML fields of a struct with their defaults.
func fieldsOf(prefix string, v reflect.Value) []field {
	var out []field
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		out = append(out, fieldsAt(prefix+name, v.Field(i))...)
	}
	return out
}

// fieldsAt lists the field at a path and those nested in it.
func fieldsAt(path string, v reflect.Value) []field {
	switch v.Kind() {
	case reflect.Struct:
		return append([]field{{path: path}}, fieldsOf(path+".", v)...)
	case reflect.Pointer:
		if v.Type().Elem().Kind() == reflect.Struct {
			return append([]field{{path: path}}, fieldsOf(path+".", reflect.New(v.Type().Elem()).Elem())...)
		}
		return []field{{path: path}}
	case reflect.Slice:
		if elem := v.Type().Elem(); elem.Kind() == reflect.Struct {
			return append([]field{{path: path}}, fieldsOf(path+"[].", reflect.New(elem).Elem())...)
		}
		return []field{{path: path}}
	}
	if v.IsZero() {
		return []field{{path: path}}
	}
	return []field{{path: path, def: v.Interface()}}
}

// row returns the cells of the table row whose first cell contains the name, or
// nil if there is none.
func row(page, name string) []string {
	for line := range strings.Lines(page) {
		cells := strings.Split(line, "|")
		if len(cells) > 3 && strings.TrimSpace(cells[1]) == "`"+name+"`" {
			return cells[1:]
		}
	}
	return nil
}

// section returns the text of a page between a heading and the next heading of
// the same level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(page, "\n"+heading+"\n")
	if !found {
		t.Fatalf("no heading %q", heading)
	}
	level, _, _ := strings.Cut(heading, " ")
	part, _, _ := strings.Cut(rest, "\n"+level+" ")
	return part
}

// page reads a page of the documentation.
func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestConfigurationPage checks that the page has a row for each YAML field of
// settings and documents, and that the row shows the default that the code
// fills in.
func TestConfigurationPage(t *testing.T) {
	text := page(t, "CONFIGURATION.md")
	account := fleet.Account{}.WithDefaults()
	account.Burst = 0 // its default depends on the rate and is described in words
	profile := fleet.DefaultProfile()
	profile.Kind = ""
	parts := map[string][]field{
		"## Settings of mimosad": fieldsOf("", reflect.ValueOf(settings.Settings{}.WithDefaults())),
		"### profile":            fieldsOf("", reflect.ValueOf(profile)),
		"### service":            fieldsOf("", reflect.ValueOf(fleet.Service{})),
		"### accounts": append(fieldsOf("", reflect.ValueOf(fleet.Accounts{})),
			fieldsOf("accounts[].", reflect.ValueOf(account))...),
	}
	for heading, fields := range parts {
		part := section(t, text, heading)
		for _, f := range fields {
			cells := row(part, f.path)
			if cells == nil {
				t.Errorf("%s: no row for %s", heading, f.path)
				continue
			}
			if !f.isShownIn(cells[1]) {
				t.Errorf("%s: %s has default %v, the page says %q", heading, f.path, f.def, cells[1])
			}
		}
	}
}

// stringConstants returns the values of the string constants of a type in a Go
// file.
func stringConstants(t *testing.T, path, typeName string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if named, ok := spec.Type.(*ast.Ident); !ok || named.Name != typeName {
			return true
		}
		for _, v := range spec.Values {
			if lit, ok := v.(*ast.BasicLit); ok {
				text, _ := strconv.Unquote(lit.Value)
				out = append(out, text)
			}
		}
		return true
	})
	if len(out) == 0 {
		t.Fatalf("no constants of type %s in %s", typeName, path)
	}
	return out
}

// namesInTables returns the names in backquotes in the first cells of a page's
// tables.
func namesInTables(page string) []string {
	var out []string
	for line := range strings.Lines(page) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 || strings.TrimSpace(cells[0]) != "" {
			continue
		}
		for i, part := range strings.Split(cells[1], "`") {
			if i%2 == 1 {
				out = append(out, part)
			}
		}
	}
	return out
}

// TestOperationsPage checks that the page has a row for each reason and for
// each peer counter.
func TestOperationsPage(t *testing.T) {
	rows := namesInTables(page(t, "OPERATIONS.md"))
	for _, reason := range stringConstants(t, filepath.Join("..", "core", "outcome", "outcome.go"), "Reason") {
		if !slices.Contains(rows, "refusal."+reason) && !slices.Contains(rows, reason) {
			t.Errorf("no row for reason %s", reason)
		}
	}
	for _, counter := range stringConstants(t, filepath.Join("..", "adapter", "peer", "options.go"), "Counter") {
		if !slices.Contains(rows, counter) {
			t.Errorf("no row for counter %s", counter)
		}
	}
}
