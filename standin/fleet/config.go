// Package fleet starts a whole set of stand-ins in one process: a platform,
// engines and plain upstreams in availability zones, with their VMs published.
package fleet

import (
	"mimosaarch.example/standin/engine"
	"mimosaarch.example/standin/plain"
	"mimosaarch.example/standin/platform"
)

// Names of the services of the ready sets.
const (
	ModelService = "mimosa-drafts"
	PlainService = "booking-api"
)

// Config describes a set.
type Config struct {
	// ModelService and PlainService name the services of the published VMs.
	// Empty means the constants above.
	ModelService, PlainService string
	// Model is the name engines hold; empty means the model service's name.
	Model string
	// Layers is the model's count of layers.
	Layers   int
	Platform platform.Config
	Engines  []EngineSpec
	Plains   []PlainSpec
}

// EngineSpec is one engine in its zone. Empty ID, Model and Layers are filled in.
type EngineSpec struct {
	Zone   string
	Engine engine.Config
}

// PlainSpec is one plain upstream in its zone.
type PlainSpec struct {
	Zone  string
	Plain plain.Config
}
