// Package fleet runs a set of stand-ins in one process: a platform, engines and plain
// upstreams in availability zones. It publishes them in the platform's list of VMs
// and can kill, restart and unpublish them one by one.
package fleet

import (
	"mimosaarch.example/standin/engine"
	"mimosaarch.example/standin/plain"
	"mimosaarch.example/standin/platform"
)

// Default names of the services of the published VMs.
const (
	ModelService = "mimosa-drafts"
	PlainService = "booking-api"
)

// Config describes a fleet.
type Config struct {
	// ModelService and PlainService are the service names of the VMs of engines and
	// of plain upstreams. Empty means the constant of the same name.
	ModelService, PlainService string
	// Model is the model of engines that name none; empty means the name of the model
	// service.
	Model string
	// Layers is the number of layers of the model, for engines that give none.
	Layers   int
	Platform platform.Config
	Engines  []EngineSpec
	Plains   []PlainSpec
}

// EngineSpec is one engine and its zone. An empty ID becomes "engine-" and the
// position in Config.Engines; an empty Model and Layers are taken from the Config.
type EngineSpec struct {
	Zone   string
	Engine engine.Config
}

// PlainSpec is one plain upstream and its zone. An empty ID becomes "plain-" and the
// position in Config.Plains.
type PlainSpec struct {
	Zone  string
	Plain plain.Config
}
