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

// Exit codes of mimosactl. They are stable, so scripts may rely on them.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: the command failed, and no write has an unknown result.
	ExitFailed = 1
	// ExitUsage: the command line is invalid; nothing was attempted.
	ExitUsage = 2
	// ExitInvalid: a document is invalid; nothing was written.
	ExitInvalid = 3
	// ExitConflict: the published version is not the expected one; the message
	// names the current version.
	ExitConflict = 4
	// ExitUnknown: it is unknown whether a publish took effect; the message
	// names the change ID to look for.
	ExitUnknown = 5
	// ExitNotComplete: a request sent by "mimosactl send" had an outcome other
	// than complete.
	ExitNotComplete = 6
)

// exitNames maps exit codes to their names in JSON.
var exitNames = [...]string{"ok", "failed", "usage", "invalid", "conflict", "unknown", "not_complete"}

// exitHelp is the section of the help text that lists the exit codes.
const exitHelp = `Exit codes: 0 success; 1 failure; 2 invalid command line; 3 invalid document,
nothing written; 4 conflict with the published version; 5 unknown whether a
publish took effect; 6 a request sent has an outcome other than complete.`

// UsageError reports an invalid command line that the option parser cannot
// detect.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// exitCode returns the exit code for an error.
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

// isA reports whether err is or wraps an error of type T.
func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// failure is the JSON form of a command's error.
type failure struct {
	Error struct {
		Exit    int    `json:"exit"`
		Name    string `json:"name"`
		Message string `json:"message"`
		// Cause holds the fields of the typed error; set only for conflicts.
		Cause error `json:"cause,omitempty"`
	} `json:"error"`
}

// reportError prints err, or the help text if it was requested, and returns the
// exit code.
func (e *env) reportError(err error) int {
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
