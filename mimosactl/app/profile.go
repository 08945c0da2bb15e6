package app

import (
	"context"
	"fmt"
	"time"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/platformapi"
)

// profile returns the description of the commands for configuration documents.
func (e *env) profile() command {
	return command{
		name:  "profile",
		short: "Publish and show configuration",
		long:  "Publishes, shows and checks configuration: documents of the kinds profile, service and accounts.",
		data:  &struct{}{},
		subcommands: []command{
			e.publish(),
			e.show(),
			e.list(),
			e.diff(),
			e.validate(),
		},
	}
}

// platformOptions holds the options for connecting to the platform.
type platformOptions struct {
	Platform addresses     `long:"platform" env:"MIMOSACTL_PLATFORM" required:"yes" value-name:"ADDR" description:"the platform's IP address and port; separate several with commas"`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"timeout of the whole command"`
}

// withClient calls fn with a platform client and a context that ends after the
// timeout.
func (o *platformOptions) withClient(fn func(ctx context.Context, client *platform.Client) error) error {
	client, err := platform.New(platform.Settings{Addresses: o.Platform})
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, done := context.WithTimeout(context.Background(), o.Timeout)
	defer done()
	return fn(ctx, client)
}

// kindPrefixes maps a document kind to its object key prefix.
var kindPrefixes = map[string]string{
	fleet.KindProfile:  fleet.ProfilePrefix,
	fleet.KindService:  fleet.ServicePrefix,
	fleet.KindAccounts: fleet.AccountPrefix,
}

// published is a published document in the output of show and list.
type published struct {
	Key     string `json:"key"`
	Kind    string `json:"kind,omitempty"`
	Name    string `json:"name,omitempty"`
	Version int64  `json:"version"`
	Change  string `json:"change,omitempty"`
	// Invalid is the parse error if the value is not a valid document.
	Invalid string `json:"invalid,omitempty"`
	// YAML is the whole document; empty in lists.
	YAML string `json:"yaml,omitempty"`
}

// newPublished converts a platform object to its output form, without the YAML.
func newPublished(object platformapi.Object) published {
	p := published{Key: object.Key, Version: object.Version}
	doc, err := fleet.Parse(object.Value)
	if err != nil {
		p.Invalid = err.Error()
		return p
	}
	p.Kind = doc.DocumentKind()
	p.Name = doc.DocumentName()
	p.Change = doc.ChangeID()
	return p
}

// versionText returns the printed form of an object's version.
func versionText(v int64) string { return fmt.Sprintf("version %d", v) }
