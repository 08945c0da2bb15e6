// Package lang is the small language that scenarios are written in: commands and
// conditions for testscript that start processes, bring failures about, send
// requests and check what became of them. A command that fails ends its script.
package lang

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// command is one command of the scripts.
type command = func(ts *testscript.TestScript, neg bool, args []string)

// Commands gives the commands of scripts besides testscript's own, by name.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]command{
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
}

// worldKey is the key of the script's world in its values.
type worldKey struct{}

// Setup gives a script its world and the configuration that most publish.
func Setup(env *testscript.Env) error {
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

// MismatchError tells that a condition does not hold, or that a command cannot
// be carried out as it is written.
type MismatchError struct{ Detail string }

// Error implements error.
func (e *MismatchError) Error() string { return e.Detail }

// mismatch makes a MismatchError.
func mismatch(format string, args ...any) error {
	return &MismatchError{Detail: fmt.Sprintf(format, args...)}
}
