// Package fleet defines the configuration that operators publish: profiles,
// services and client accounts. Each document is YAML and is stored as one object
// of the platform. The package parses and validates documents; it does no I/O.
package fleet

import (
	"time"

	"mimosaarch.example/core/ids"
)

// Prefixes of the keys of platform objects that hold configuration.
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

// Types of services.
const (
	ServiceModel = "model"
	ServicePlain = "plain"
)

// Strategies for choosing a chain.
const (
	StrategyFlow        = "flow"
	StrategyRoundRobin  = "round_robin"
	StrategyTwoChoices  = "two_choices"
	StrategyLeastLoaded = "least_loaded"
)

// Profile is a named policy for services. Every field has a default, given in its
// comment.
type Profile struct {
	Kind string      `yaml:"kind"`
	Name ids.Profile `yaml:"name"`
	// Change is the ID of the publish operation that wrote the document.
	// mimosactl sets it, and reads it back when the response to a publish was lost.
	Change string `yaml:"change,omitempty"`
	// Strategy selects how chains are chosen: flow, round_robin, two_choices or
	// least_loaded. Default flow.
	Strategy string `yaml:"strategy,omitempty"`
	// Queue limits the requests that wait on a node.
	Queue QueuePolicy `yaml:"queue,omitempty"`
	// Retry limits the attempts at a request.
	Retry RetryPolicy `yaml:"retry,omitempty"`
	// Health sets when upstreams are ejected and readmitted.
	Health HealthPolicy `yaml:"health,omitempty"`
	// Deadline applies to requests that do not set one. Default 60s.
	Deadline Duration `yaml:"deadline,omitempty"`
	// TokenInterval is the target time between tokens for the choice of chains with
	// strategy flow. A longer interval allows more load per engine: more
	// throughput, slower streams. Default 80ms.
	TokenInterval Duration `yaml:"token_interval,omitempty"`
	// StallAfter is how long an attempt may make no progress before it is ended.
	// Default 5s.
	StallAfter Duration `yaml:"stall_after,omitempty"`
	// ConnectTimeout bounds a dial to an upstream. Default 500ms.
	ConnectTimeout Duration `yaml:"connect_timeout,omitempty"`
	// ClaimRetention is how long an idempotency key is remembered after its request
	// ended. Default 24h, minimum 1m.
	ClaimRetention Duration `yaml:"claim_retention,omitempty"`
}

// QueuePolicy limits the requests that wait on one node for one service.
type QueuePolicy struct {
	// Length is the maximum number of waiting requests. Default 256.
	Length int `yaml:"length,omitempty"`
	// PerAccount is the maximum number of waiting requests of one account. Default
	// 128.
	PerAccount int `yaml:"per_account,omitempty"`
}

// RetryPolicy limits the attempts at requests of a service.
type RetryPolicy struct {
	// Attempts is the maximum number of attempts at one request, including the
	// first. Default 4.
	Attempts int `yaml:"attempts,omitempty"`
	// BudgetRatio is the number of retries allowed per first attempt. Default 0.2.
	BudgetRatio float64 `yaml:"budget_ratio,omitempty"`
	// BudgetMin is the number of retries per second that are always allowed.
	// Default 3.
	BudgetMin float64 `yaml:"budget_min,omitempty"`
}

// HealthPolicy sets when upstreams are ejected and how they are readmitted, and
// when requests are quarantined.
type HealthPolicy struct {
	// Failures is the number of consecutive failures after which an upstream is
	// ejected. Default 3.
	Failures int `yaml:"failures,omitempty"`
	// EjectFor is the duration of the first ejection. It doubles with each further
	// one, up to ten times its value. Default 1s.
	EjectFor Duration `yaml:"eject_for,omitempty"`
	// FloorPercent is the percentage of a service's upstreams that are never
	// ejected. Default 30.
	FloorPercent int `yaml:"floor_percent,omitempty"`
	// QuarantineAfter is the number of upstream crashes attributed to the
	// fingerprint of a request after which such requests are quarantined. Default
	// 2.
	QuarantineAfter int `yaml:"quarantine_after,omitempty"`
	// QuarantineFor is the duration of a quarantine. Default 10m.
	QuarantineFor Duration `yaml:"quarantine_for,omitempty"`
}

// Service configures a service and its routes.
type Service struct {
	Kind   string      `yaml:"kind"`
	Name   ids.Service `yaml:"name"`
	Change string      `yaml:"change,omitempty"`
	// Type is ServiceModel or ServicePlain.
	Type string `yaml:"type"`
	// Profile is the name of the profile that applies to the service.
	Profile ids.Profile `yaml:"profile"`
	// Layers is the number of the model's layers; model services only.
	Layers int `yaml:"layers,omitempty"`
	// Leaving lists the upstreams that the operator has marked to get no new
	// requests. Default none.
	Leaving []ids.Upstream `yaml:"leaving,omitempty"`
	// Routes are the routes of a plain service. A path that matches none is
	// refused.
	Routes []Route `yaml:"routes,omitempty"`
}

// Route allows a method on the paths with a common prefix.
type Route struct {
	// Method is an HTTP method.
	Method string `yaml:"method"`
	// Prefix is the prefix of the path.
	Prefix string `yaml:"prefix"`
	// Idempotent reports whether a call may be repeated. Default: as RFC 9110
	// defines for the method.
	Idempotent *bool `yaml:"idempotent,omitempty"`
}

// Accounts is a shard of the client accounts.
type Accounts struct {
	Kind   string `yaml:"kind"`
	Name   string `yaml:"name"`
	Change string `yaml:"change,omitempty"`
	// Accounts are the accounts of the shard.
	Accounts []Account `yaml:"accounts"`
}

// Account is a client account.
type Account struct {
	ID ids.Account `yaml:"id"`
	// KeySHA256 is the SHA-256 of the account's bearer key in hex.
	KeySHA256 string `yaml:"key_sha256"`
	// Rate is the number of requests per second that the whole fleet allows.
	// Default 10.
	Rate float64 `yaml:"rate,omitempty"`
	// Burst is the size of a burst that the whole fleet allows, in requests.
	// Default twice the rate.
	Burst float64 `yaml:"burst,omitempty"`
	// Weight is the weight of the account in queues. Default 1.
	Weight int `yaml:"weight,omitempty"`
	// Services are the services that the account may call. Default all.
	Services []ids.Service `yaml:"services,omitempty"`
}

// Duration is a time.Duration that is written like "1.5s" in YAML.
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
