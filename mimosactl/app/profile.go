package app

import (
	"context"
	"fmt"
	"time"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/platformapi"
)

// profile describes the commands for configuration documents.
func (e *env) profile() command {
	return command{
		name:  "profile",
		short: "Publish and show configuration",
		long:  "Publishes, shows and checks configuration: documents of the kinds profile, service and accounts.",
		data:  &struct{}{},
		below: []command{
			e.publish(),
			e.show(),
			e.list(),
			e.diff(),
			e.validate(),
		},
	}
}

// platformOptions say how to reach the platform.
type platformOptions struct {
	Platform addresses     `long:"platform" env:"MIMOSACTL_PLATFORM" required:"yes" value-name:"ADDR" description:"the platform's IP address and port; several with commas"`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"limit of the whole command"`
}

// with calls do with a client of the platform.
func (o *platformOptions) with(do func(ctx context.Context, client *platform.Client) error) error {
	client, err := platform.New(platform.Settings{Addresses: o.Platform})
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, done := context.WithTimeout(context.Background(), o.Timeout)
	defer done()
	return do(ctx, client)
}

// kindPrefixes are the object key prefixes by kind of document.
var kindPrefixes = map[string]string{
	fleet.KindProfile:  fleet.ProfilePrefix,
	fleet.KindService:  fleet.ServicePrefix,
	fleet.KindAccounts: fleet.AccountPrefix,
}

// published is one published document as it is shown.
type published struct {
	Key     string `json:"key"`
	Kind    string `json:"kind,omitempty"`
	Name    string `json:"name,omitempty"`
	Version int64  `json:"version"`
	Change  string `json:"change,omitempty"`
	// Invalid tells why the value is no valid document.
	Invalid string `json:"invalid,omitempty"`
	// YAML is the whole document; left out of lists.
	YAML string `json:"yaml,omitempty"`
}

// describe makes what is shown of an object, without its text.
func describe(object platformapi.Object) published {
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

// version gives an object's version in words.
func version(v int64) string { return fmt.Sprintf("version %d", v) }
