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

// diffCommand is "mimosactl profile diff".
type diffCommand struct {
	env *env
	platformOptions

	ExitCode bool `long:"exit-code" description:"exit with 1 when they differ"`

	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// diff describes the command.
func (e *env) diff() command {
	return command{
		name:  "diff",
		short: "Compare a file with what is published",
		long: "Compares the document in a file with the published one of the same kind and name, both with their defaults. " +
			"Change ids and comments are left out.",
		data: &diffCommand{env: e},
	}
}

// DocumentsDifferError tells that a file and the published document differ; given only
// where asked for.
type DocumentsDifferError struct{ Key string }

// Error implements error.
func (e *DocumentsDifferError) Error() string { return e.Key + " differs from what is published" }

// comparison is the result of a diff.
type comparison struct {
	Key string `json:"key"`
	// Version is the published one; 0 when none is published.
	Version int64 `json:"version"`
	Differs bool  `json:"differs"`
	// Diff is a unified diff from the published document to the file.
	Diff string `json:"diff"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	file, err := documents.Read(c.Args.File)
	if err != nil {
		return err
	}
	return c.with(func(ctx context.Context, client *platform.Client) error {
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

// compare compares a file with the published document.
func compare(ctx context.Context, client *platform.Client, file documents.File) (comparison, error) {
	result := comparison{Key: file.Key()}
	ours, err := fleet.Encode(file.Document.WithChange(""))
	if err != nil {
		return result, err
	}
	object, err := client.Get(ctx, file.Key())
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return result, err
	}
	result.Version = object.Version
	theirs := withoutChange(object.Value)
	result.Diff = string(diff.Diff("published "+file.Key()+" "+version(object.Version), theirs, file.Path, ours))
	result.Differs = result.Diff != ""
	return result, nil
}

// withoutChange gives a published document in the form that publishing writes,
// without its change id; a value that does not parse stays as it is.
func withoutChange(value []byte) []byte {
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
