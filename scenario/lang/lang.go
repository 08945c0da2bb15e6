// Package lang implements the commands of the scenario scripts for testscript.
// They start nodes and stand-ins as processes, inject failures, send requests,
// and check answers and states. A command that fails ends its script.
package lang

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// command is the implementation of a script command. neg is true if the command
// is preceded by "!", which most commands don't allow.
type command = func(ts *testscript.TestScript, neg bool, args []string)

// Commands returns the commands that scripts have in addition to testscript's
// own, by name.
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

// stateKey is the key of a script's state in testscript's values.
type stateKey struct{}

// Setup prepares a script: it creates the script's state and copies the
// configuration documents of testdata/config to its directory config.
func Setup(env *testscript.Env) error {
	st := newScriptState(env)
	env.Values[stateKey{}] = st
	env.Defer(st.close)
	return os.CopyFS(filepath.Join(env.WorkDir, "config"), os.DirFS(filepath.Join("testdata", "config")))
}

// stateOf returns the script's state.
func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(stateKey{}).(*scriptState)
}

// Conditions are polled every pollInterval. maxWait limits each wait for a
// condition, an answer or a connection.
const (
	maxWait      = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// eventually evaluates a condition until it returns nil, for at most maxWait. It
// returns the last error.
func eventually(evaluate func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	timeout := time.After(maxWait)
	for {
		err := evaluate()
		if err == nil {
			return nil
		}
		select {
		case <-timeout:
			return err
		case <-ticker.C:
		}
	}
}

// MismatchError reports that a condition does not hold, that an answer is not the
// expected one, or that a process ended before it was ready. Detail says what
// was found.
type MismatchError struct{ Detail string }

// Error implements error.
func (e *MismatchError) Error() string { return e.Detail }

// mismatch returns a *MismatchError with a formatted detail.
func mismatch(format string, args ...any) error {
	return &MismatchError{Detail: fmt.Sprintf(format, args...)}
}
