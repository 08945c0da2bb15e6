// Package fleet defines the configuration that operators publish: profiles,
// services and client accounts. Each is one YAML document and one object of
// the platform's store; this package parses and checks them and holds no I/O.
package fleet

import (
	"time"

	"mimosaarch.example/core/ids"
)

// Key prefixes of the platform's objects that hold configuration.
const (
	ConfigPrefix  = "config/"
	ProfilePrefix = ConfigPrefix + "profile/"
	ServicePrefix = ConfigPrefix + "service/"
	AccountPrefix = ConfigPrefix + "account/"
)

// Document kinds.
const (
	KindProfile  = "profile"
	KindService  = "service"
	KindAccounts = "accounts"
)

// Service kinds.
const (
	ServiceModel = "model"
	ServicePlain = "plain"
)

// Strategies for the choice of a chain.
const (
	StrategyFlow        = "flow"
	StrategyRoundRobin  = "round_robin"
	StrategyTwoChoices  = "two_choices"
	StrategyLeastLoaded = "least_loaded"
)

// Profile is a named policy that services run under. Every field has a
// default, given after its meaning.
type Profile struct {
	Kind string      `yaml:"kind"`
	Name ids.Profile `yaml:"name"`
	// Change is the id of the publish that wrote this document; set by
	// mimosactl, read back when a publish's answer was lost.
	Change string `yaml:"change,omitempty"`
	// Strategy chooses chains: flow, round_robin, two_choices, least_loaded. Default flow.
	Strategy string `yaml:"strategy,omitempty"`
	// Queue bounds the requests that wait on a node.
	Queue QueuePolicy `yaml:"queue,omitempty"`
	// Retry bounds repeated attempts.
	Retry RetryPolicy `yaml:"retry,omitempty"`
	// Health sets when upstreams are ejected and taken back.
	Health HealthPolicy `yaml:"health,omitempty"`
	// Deadline is given to requests that bring none. Default 60s.
	Deadline Duration `yaml:"deadline,omitempty"`
	// TokenInterval is the time between tokens that the choice of chains keeps
	// to, strategy flow only. A longer one fills engines further: more
	// throughput, slower streams. Default 80ms.
	TokenInterval Duration `yaml:"token_interval,omitempty"`
	// StallAfter ends an attempt without progress for this long. Default 5s.
	StallAfter Duration `yaml:"stall_after,omitempty"`
	// ConnectTimeout bounds opening a connection to an upstream. Default 500ms.
	ConnectTimeout Duration `yaml:"connect_timeout,omitempty"`
	// ClaimRetention is how long a seen idempotency key is remembered after
	// its request ended. Default 24h, least 1m.
	ClaimRetention Duration `yaml:"claim_retention,omitempty"`
}

// QueuePolicy bounds the requests waiting on one node for one service.
type QueuePolicy struct {
	// Length is the most requests waiting. Default 256.
	Length int `yaml:"length,omitempty"`
	// PerAccount is the most requests of one account waiting. Default 128.
	PerAccount int `yaml:"per_account,omitempty"`
}

// RetryPolicy bounds repeated attempts of a service.
type RetryPolicy struct {
	// Attempts is the most attempts for one request, the first included. Default 4.
	Attempts int `yaml:"attempts,omitempty"`
	// BudgetRatio is the retries allowed for each first attempt. Default 0.2.
	BudgetRatio float64 `yaml:"budget_ratio,omitempty"`
	// BudgetMin is the retries a second allowed at any rate. Default 3.
	BudgetMin float64 `yaml:"budget_min,omitempty"`
}

// HealthPolicy sets when upstreams are ejected and how they come back.
type HealthPolicy struct {
	// Failures in a row that eject an upstream. Default 3.
	Failures int `yaml:"failures,omitempty"`
	// EjectFor is the first ejection's length; it doubles to ten times. Default 1s.
	EjectFor Duration `yaml:"eject_for,omitempty"`
	// FloorPercent of a service's upstreams always stay in use. Default 30.
	FloorPercent int `yaml:"floor_percent,omitempty"`
	// QuarantineAfter is the upstream deaths blamed on one request's
	// fingerprint that quarantine it. Default 2.
	QuarantineAfter int `yaml:"quarantine_after,omitempty"`
	// QuarantineFor is how long. Default 10m.
	QuarantineFor Duration `yaml:"quarantine_for,omitempty"`
}

// Service is one routed service.
type Service struct {
	Kind   string      `yaml:"kind"`
	Name   ids.Service `yaml:"name"`
	Change string      `yaml:"change,omitempty"`
	// Type is model or plain.
	Type string `yaml:"type"`
	// Profile names the policy the service runs under.
	Profile ids.Profile `yaml:"profile"`
	// Layers is the model's count of layers; model services only.
	Layers int `yaml:"layers,omitempty"`
	// Leaving names upstreams that get no new work, by the operators' word.
	// Default none.
	Leaving []ids.Upstream `yaml:"leaving,omitempty"`
	// Routes of a plain service; a path that fits none is refused.
	Routes []Route `yaml:"routes,omitempty"`
}

// Route is one path prefix of a plain service.
type Route struct {
	// Method is an HTTP method.
	Method string `yaml:"method"`
	// Prefix is the start of the path.
	Prefix string `yaml:"prefix"`
	// Idempotent tells whether a call may be repeated. Default: by the
	// method, as RFC 9110 has it.
	Idempotent *bool `yaml:"idempotent,omitempty"`
}

// Accounts is a shard of the client accounts.
type Accounts struct {
	Kind   string `yaml:"kind"`
	Name   string `yaml:"name"`
	Change string `yaml:"change,omitempty"`
	// Accounts lists the shard's accounts.
	Accounts []Account `yaml:"accounts"`
}

// Account is one client account.
type Account struct {
	ID ids.Account `yaml:"id"`
	// KeySHA256 is the SHA-256 of the account's bearer key, in hex.
	KeySHA256 string `yaml:"key_sha256"`
	// Rate is the requests a second over the whole fleet. Default 10.
	Rate float64 `yaml:"rate,omitempty"`
	// Burst is the requests allowed at once over the whole fleet. Default
	// twice the rate.
	Burst float64 `yaml:"burst,omitempty"`
	// Weight is the account's share in queues. Default 1.
	Weight int `yaml:"weight,omitempty"`
	// Services the account may call. Default all.
	Services []ids.Service `yaml:"services,omitempty"`
}

// Duration is a time.Duration written as "1.5s" in YAML.
type Duration time.Duration

// D gives the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
