package app

import (
	"context"
	"errors"
	"io"

	"github.com/rogpeppe/go-internal/diff"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/mimosactl/documents"
)

// diffCommand holds the options of "mimosactl profile diff".
type diffCommand struct {
	env *env
	platformOptions

	ExitCode bool `long:"exit-code" description:"exit with 1 if the documents differ"`

	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// diff returns the description of the diff command.
func (e *env) diff() command {
	return command{
		name:  "diff",
		short: "Compare a file with the published document",
		long: "Compares the document in a file with the published one of the same kind and name, both with their defaults filled in. " +
			"Change IDs and comments are ignored.",
		data: &diffCommand{env: e},
	}
}

// DocumentsDifferError reports that a file and the published document differ.
// It is returned only with --exit-code.
type DocumentsDifferError struct{ Key string }

// Error implements error.
func (e *DocumentsDifferError) Error() string { return e.Key + " differs from the published document" }

// comparison is the result of comparing a file with the published document.
type comparison struct {
	Key string `json:"key"`
	// Version is the version of the published document; 0 if there is none.
	Version int64 `json:"version"`
	Differs bool  `json:"differs"`
	// Diff is a unified diff from the published document to the file; empty if
	// they are equal.
	Diff string `json:"diff"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	file, err := documents.Read(c.Args.File)
	if err != nil {
		return err
	}
	return c.withClient(func(ctx context.Context, client *platform.Client) error {
		result, err := compare(ctx, client, file)
		if err != nil {
			return err
		}
		err = c.env.print(result, func(w io.Writer) { _, _ = io.WriteString(w, result.Diff) })
		if err == nil && result.Differs && c.ExitCode {
			return &DocumentsDifferError{Key: result.Key}
		}
		return err
	})
}

// compare compares a file with the published document of the same key. A
// missing document counts as empty.
func compare(ctx context.Context, client *platform.Client, file documents.File) (comparison, error) {
	result := comparison{Key: file.Key()}
	local, err := fleet.Encode(file.Document.WithChange(""))
	if err != nil {
		return result, err
	}
	object, err := client.Get(ctx, file.Key())
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return result, err
	}
	result.Version = object.Version
	remote := stripChangeID(object.Value)
	result.Diff = string(diff.Diff("published "+file.Key()+" "+versionText(object.Version), remote, file.Path, local))
	result.Differs = result.Diff != ""
	return result, nil
}

// stripChangeID re-encodes a published document without its change ID, in the
// form that publish writes. It returns a value that does not parse unchanged.
func stripChangeID(value []byte) []byte {
	doc, err := fleet.Parse(value)
	if err != nil {
		return value
	}
	plain, err := fleet.Encode(doc.WithChange(""))
	if err != nil {
		return value
	}
	return plain
}
