package app

import (
	"context"
	"fmt"
	"io"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/mimosactl/documents"
)

// publishCommand holds the options of "mimosactl profile publish".
type publishCommand struct {
	env *env
	platformOptions

	Expect *int64 `long:"expect" value-name:"VERSION" description:"publish only if this is the current version; 0: only if the document does not exist; needs a single file"`

	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// publish returns the description of the publish command.
func (e *env) publish() command {
	return command{
		name:  "publish",
		short: "Publish documents",
		long: "Checks all files, then writes each with a conditional update against the current or expected version. " +
			"If the response to a write is lost, reads the document back to find the result. Stops at the first document that is not written.",
		data: &publishCommand{env: e},
	}
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	expected, err := c.expected()
	if err != nil {
		return err
	}
	files, err := documents.ReadAll(c.Args.Files)
	if err != nil {
		return err
	}
	return c.withClient(func(ctx context.Context, client *platform.Client) error {
		written, err := documents.Publish(ctx, client, files, expected, documents.NewChangeID())
		if printErr := c.show(written); err == nil {
			err = printErr
		}
		return err
	})
}

// expected returns the version that the published document must have. The error
// is a *UsageError.
func (c *publishCommand) expected() (int64, error) {
	switch {
	case c.Expect == nil:
		return documents.AnyVersion, nil
	case *c.Expect < 0:
		return 0, &UsageError{Message: "--expect must not be negative"}
	case len(c.Args.Files) != 1:
		return 0, &UsageError{Message: "--expect needs a single file"}
	}
	return *c.Expect, nil
}

// show prints the documents that were written.
func (c *publishCommand) show(written []documents.Published) error {
	if written == nil {
		written = []documents.Published{}
	}
	return c.env.print(written, func(w io.Writer) {
		for _, p := range written {
			fmt.Fprintf(w, "published %s as %s (change %s)\n", p.Key, versionText(p.Version), p.Change)
		}
	})
}
