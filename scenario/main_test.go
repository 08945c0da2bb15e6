// Package scenario runs mimosad, mimosactl and the stand-ins as separate
// processes, brings failures about, and checks what callers are told. Each
// scenario is a script under testdata/script; the commands that scripts have
// besides testscript's own are listed in commands.
package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	mimosactl "mimosaarch.example/mimosactl/app"
	mimosad "mimosaarch.example/mimosad/app"
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

// command is one command of the scripts.
type command = func(ts *testscript.TestScript, neg bool, args []string)

// commands are those of the scripts besides testscript's own.
var commands = map[string]command{
	"spawn":   spawn,
	"chain":   chain,
	"node":    node,
	"signal":  sendSignal,
	"control": postControl,
	"vms":     setVMs,
	"object":  putObject,
	"publish": publish,
	"chat":    chat,
	"call":    callPlain,
	"calls":   callMany,
	"message": message,
	"hangup":  hangUp,
	"raw":     raw,
	"answer":  answer,
	"check":   check,
	"await":   await,
	"serving": serving,
	"tcp":     tcp,
}

// TestScripts runs every script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                filepath.Join("testdata", "script"),
		Setup:              setup,
		Cmds:               commands,
		RequireUniqueNames: true,
	})
}

// worldKey is the key of the script's world in its values.
type worldKey struct{}

// setup gives a script its world and the configuration that most publish.
func setup(env *testscript.Env) error {
	w := newWorld(env)
	env.Values[worldKey{}] = w
	env.Defer(w.close)
	return os.CopyFS(filepath.Join(env.WorkDir, "config"), os.DirFS(filepath.Join("testdata", "config")))
}

// worldOf gives the script's world.
func worldOf(ts *testscript.TestScript) *world {
	return ts.Value(worldKey{}).(*world)
}

// Bounds of a wait for a condition, which is polled.
const (
	waitAtMost = 20 * time.Second
	pollEvery  = 5 * time.Millisecond
)

// eventually polls until the condition holds; the error is its last.
func eventually(holds func() error) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	bound := time.After(waitAtMost)
	for {
		err := holds()
		if err == nil {
			return nil
		}
		select {
		case <-bound:
			return err
		case <-ticker.C:
		}
	}
}
