package app

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/mimosactl/documents"
)

// Exit codes of mimosactl. Scripts may rely on them.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitFailed: not done, and nothing is in doubt.
	ExitFailed = 1
	// ExitUsage: the command line is wrong; nothing was tried.
	ExitUsage = 2
	// ExitInvalid: a document is not valid; nothing was written.
	ExitInvalid = 3
	// ExitConflict: a newer version stands, which the message names.
	ExitConflict = 4
	// ExitUnknown: a publish may have taken effect or not; the message names
	// the change id to look for.
	ExitUnknown = 5
	// ExitNotComplete: a request sent for trying had another outcome than
	// complete.
	ExitNotComplete = 6
)

// exitNames name the codes in JSON.
var exitNames = [...]string{"ok", "failed", "usage", "invalid", "conflict", "unknown", "not_complete"}

// exitHelp is the part of the help that tells the exit codes.
const exitHelp = `Exit codes: 0 done; 1 failed; 2 wrong command line; 3 invalid document, nothing
written; 4 conflict, a newer version stands; 5 unknown, a publish is not
settled; 6 the outcome of a request sent is not complete.`

// UsageError tells that a command line is wrong in a way that the parser of
// options can't see.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// exitCode gives the code for an error.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case isA[*flags.Error](err), isA[*UsageError](err), isA[*platform.AddressError](err), isA[*identity.FileError](err):
		return ExitUsage
	case isA[*documents.InvalidFilesError](err), isA[*documents.FileError](err):
		return ExitInvalid
	case isA[*documents.ConflictError](err), isA[*documents.SupersededError](err):
		return ExitConflict
	case isA[*documents.UnknownResultError](err):
		return ExitUnknown
	case isA[*OutcomeError](err):
		return ExitNotComplete
	}
	return ExitFailed
}

// isA reports whether err wraps an error of type T.
func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// failure is a failed command in JSON.
type failure struct {
	Error struct {
		Exit    int    `json:"exit"`
		Name    string `json:"name"`
		Message string `json:"message"`
		// Cause has the fields of the typed error.
		Cause error `json:"cause,omitempty"`
	} `json:"error"`
}

// end prints what went wrong and gives the exit code.
func (e *env) end(err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintf(e.stdout, "%s\n%s\n", usage.Message, exitHelp)
		return ExitOK
	}
	code := exitCode(err)
	if code == ExitOK {
		return code
	}
	if !e.json() {
		fmt.Fprintln(e.stderr, err)
		return code
	}
	var f failure
	f.Error.Exit = code
	f.Error.Name = exitNames[code]
	f.Error.Message = err.Error()
	if code == ExitConflict {
		f.Error.Cause = err
	}
	_ = json.NewEncoder(e.stderr).Encode(f)
	return code
}
