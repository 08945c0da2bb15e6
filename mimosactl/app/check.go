package app

import (
	"errors"
	"fmt"
	"io"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/mimosactl/check"
	"mimosaarch.example/mimosactl/documents"
)

// checkCommand holds the options of "mimosactl check".
type checkCommand struct {
	env *env

	InForce []string `long:"in-force" value-name:"FILE" description:"a document that is in force; may be repeated"`

	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// check returns the description of the check command.
func (e *env) check() command {
	return command{
		name:  "check",
		short: "Check documents together before they are published",
		long: "Checks the configuration that results if the files are published over the documents in force: errors, entries that can never match, " +
			"limits that contradict each other. Also lists the differences from the documents in force. Does not contact the platform. " +
			"The exit code is 1 if there are errors.",
		data: &checkCommand{env: e},
	}
}

// CheckFailedError reports that a check has found errors.
type CheckFailedError struct{ Errors int }

// Error implements error.
func (e *CheckFailedError) Error() string { return fmt.Sprintf("%d errors found", e.Errors) }

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	inForce, err := documents.ReadAll(c.InForce)
	if err != nil {
		return err
	}
	files, invalid, err := readChecked(c.Args.Files)
	if err != nil {
		return err
	}
	result, err := check.Run(documentsOf(inForce), documentsOf(files))
	if err != nil {
		return err
	}
	result.Findings = append(invalid, result.Findings...)
	if err := c.env.print(result, func(w io.Writer) { printCheck(w, result) }); err != nil {
		return err
	}
	if n := result.Errors(); n > 0 {
		return &CheckFailedError{Errors: n}
	}
	return nil
}

// readChecked reads files. Those without a valid document are returned as findings. The
// error is a *documents.ReadError.
func readChecked(paths []string) ([]documents.File, []check.Finding, error) {
	files, err := documents.ReadAll(paths)
	var faults *documents.InvalidFilesError
	if !errors.As(err, &faults) {
		return files, []check.Finding{}, err
	}
	// The files that are valid are checked as well.
	var findings []check.Finding
	seen := make(map[string]string)
	for _, path := range paths {
		file, err := documents.Read(path)
		if err == nil && seen[file.Key()] != "" {
			err = &documents.DuplicateError{Key: file.Key(), Paths: [2]string{seen[file.Key()], path}}
		}
		if err != nil {
			findings = append(findings, check.Finding{Severity: check.Error, Kind: check.KindInvalid, Document: path, Message: err.Error()})
			continue
		}
		seen[file.Key()] = path
		files = append(files, file)
	}
	return files, findings, nil
}

// documentsOf returns the documents of files.
func documentsOf(files []documents.File) []fleet.Document {
	out := make([]fleet.Document, len(files))
	for i, f := range files {
		out[i] = f.Document
	}
	return out
}

// printCheck prints the result of a check as text.
func printCheck(w io.Writer, result check.Result) {
	for _, f := range result.Findings {
		fmt.Fprintln(w, f)
	}
	for _, change := range result.Changes {
		fmt.Fprintf(w, "%s: %s\n%s", change.Document, change.State, change.Diff)
	}
}
