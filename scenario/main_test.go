// Package scenario tests mimosad and mimosactl against the stand-ins of the
// platform, the engines and the plain services, each a process of its own. The
// tests inject failures and check the answers that callers get. Each scenario
// is a testscript under testdata/script that uses the commands of package lang.
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

// maxParallelScripts bounds the scripts that run at the same time.
const maxParallelScripts = "4"

// boundedTests runs the tests with at most maxParallelScripts in parallel. The
// processes of the commands, which parse flags of their own, never call Run.
type boundedTests struct{ m *testing.M }

// Run implements testscript.TestingM.
func (b boundedTests) Run() int {
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallelScripts); err != nil {
		panic(err)
	}
	return b.m.Run()
}

// TestMain makes the test binary also serve as the commands that scripts start.
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

// TestScripts runs each script under testdata/script as a subtest.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                filepath.Join("testdata", "script"),
		Setup:              lang.Setup,
		Cmds:               lang.Commands(),
		RequireUniqueNames: true,
	})
}
