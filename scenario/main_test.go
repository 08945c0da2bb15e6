// Package scenario runs mimosad, mimosactl and the stand-ins as separate
// processes, brings failures about, and checks what callers are told. Each
// scenario is a script under testdata/script, written in the language of
// package lang.
package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	mimosactl "mimosaarch.example/mimosactl/app"
	mimosad "mimosaarch.example/mimosad/app"
	"mimosaarch.example/scenario/lang"
	"mimosaarch.example/standin/engine"
	"mimosaarch.example/standin/link"
	"mimosaarch.example/standin/plain"
	"mimosaarch.example/standin/platform"
)

// parallelScripts is the most scripts run at once.
const parallelScripts = "4"

// boundedTests runs the tests, few at once. It is not reached in the processes of
// the commands, whose flags are their own.
type boundedTests struct{ m *testing.M }

// Run implements testscript.TestingM.
func (b boundedTests) Run() int {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelScripts); err != nil {
		panic(err)
	}
	return b.m.Run()
}

// TestMain registers the commands that run as processes of their own.
func TestMain(m *testing.M) {
	testscript.Main(boundedTests{m}, map[string]func(){
		"mimosad":   func() { os.Exit(mimosad.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"mimosactl": func() { os.Exit(mimosactl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"platform":  func() { os.Exit(platform.Main(os.Args[1:])) },
		"engine":    func() { os.Exit(engine.Main(os.Args[1:])) },
		"plain":     func() { os.Exit(plain.Main(os.Args[1:])) },
		"link":      func() { os.Exit(link.Main(os.Args[1:])) },
	})
}

// TestScripts runs every script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                filepath.Join("testdata", "script"),
		Setup:              lang.Setup,
		Cmds:               lang.Commands(),
		RequireUniqueNames: true,
	})
}
