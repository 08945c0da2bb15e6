// Package routing matches requests with the routes, client accounts and services
// of the configuration: which route the host and path of a request select, which
// account its API key belongs to, and which service of a weighted traffic split
// it goes to.
//
// It is used once for each request. A Table is built once for each version of the
// configuration and never changes, so any goroutine may read it.
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Kind states whether requests of a route may be repeated, and how they are
// answered.
type Kind int

const (
	// NonIdempotent requests run at most once for each request of a client.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a stream of events.
	Streaming
)

// Route defines how requests with one host and path prefix are handled. Nodes
// exchange it as JSON under the names of its fields or tags.
type Route struct {
	// Name is the name of the route, for logs.
	Name string
	// Host and PathPrefix are matched with a request; the longest matching prefix
	// wins. A prefix begins and ends with a slash.
	Host, PathPrefix string
	Kind             Kind
	// Resumable is set when another upstream may continue a stream after its
	// last event.
	Resumable bool
	// Splits distributes the requests among services. It has at least one
	// element.
	Splits []Split
	// MaxAttempts is the maximum number of upstreams that one request may run
	// on; see Attempts.
	MaxAttempts int
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// LatencyObjective is the target for the time to the answer, or to the first
	// event of a stream.
	LatencyObjective time.Duration `json:"Objective"`
	// PauseObjective is the target for the longest pause between two events of a
	// stream.
	PauseObjective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// AuthExempt is set when requests need no API key.
	AuthExempt bool `json:"Open"`
	// Affinity is set when requests prefer engines that run requests with the same
	// prompt prefix.
	Affinity bool
}

// MayRepeat reports whether a request of the route may run more than once:
// idempotent requests and resumable streams may.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Split is one service of a route. It gets the fraction Weight / sum of all
// weights of the route's requests.
type Split struct {
	Service ids.Service
	// Weight counts as 0 if it is negative.
	Weight int
}

// Account is a client account.
type Account struct {
	Name ids.Account
	// Keys are the API keys of the account.
	Keys []string
	// Priority overrides the priority of the route if it is set.
	Priority *int
}

// Service is a service that requests can be routed to.
type Service struct {
	Name ids.Service
	// Model describes the model that the engines of the service run; nil for a
	// plain service.
	Model *layered.Model
}

// Limits bounds the size of clients' requests and the time they take to send
// them.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is the maximum time to receive the headers of a request.
	// IdleTimeout is the maximum time to receive its body, and the maximum time
	// until the next request on an open connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration. Nodes exchange it as JSON.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// ConfigError reports an invalid configuration.
type ConfigError struct {
	// Version is the version of the configuration, Item the invalid part of it,
	// such as a route, and Reason what is wrong.
	Version int64
	Item    string
	Reason  string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration %d: %s: %s", e.Version, e.Item, e.Reason)
}

// Table looks up routes, accounts and services of one version of the
// configuration.
type Table struct {
	config Config
	routes map[routeKey]*Route
	// accounts holds the accounts by API key.
	accounts map[string]*Account
	services map[ids.Service]*Service
	// priorities holds the distinct priorities of the requests of each service,
	// ascending.
	priorities map[ids.Service][]int
}

// routeKey is the host, in lower case, and the path prefix of a route.
type routeKey struct{ host, prefix string }

// Build validates a configuration and returns its table. The error is a
// *ConfigError.
func Build(config Config) (*Table, error) {
	t := &Table{
		config:   config,
		routes:   make(map[routeKey]*Route, len(config.Routes)),
		accounts: make(map[string]*Account),
		services: make(map[ids.Service]*Service, len(config.Services)),
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Routes {
		if err := t.addRoute(&config.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range config.Accounts {
		account := &config.Accounts[i]
		for _, key := range account.Keys {
			t.accounts[key] = account
		}
	}
	t.priorities = prioritiesByService(&config)
	return t, nil
}

// addRoute validates a route and adds it. The error is a *ConfigError.
func (t *Table) addRoute(r *Route) error {
	invalid := func(reason string) error {
		return &ConfigError{Version: t.config.Version, Item: "route " + r.Name, Reason: reason}
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid("path prefix must begin and end with a slash")
	}
	if len(r.Splits) == 0 {
		return invalid("no service configured")
	}
	key := routeKey{strings.ToLower(r.Host), r.PathPrefix}
	if t.routes[key] != nil {
		return invalid("another route has the same host and path prefix")
	}
	t.routes[key] = r
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the limits for clients.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns all services. The slice must not be changed.
func (t *Table) Services() []Service { return t.config.Services }

// ServiceNames returns the names of all services in the order of the
// configuration.
func (t *Table) ServiceNames() []ids.Service {
	names := make([]ids.Service, len(t.config.Services))
	for i, s := range t.config.Services {
		names[i] = s.Name
	}
	return names
}

// Service returns the service of that name, nil if there is none.
func (t *Table) Service(name ids.Service) *Service { return t.services[name] }

// LimitsPauses reports whether a route to a service has an objective for the pauses of
// streams.
func (t *Table) LimitsPauses(service ids.Service) bool {
	return slices.ContainsFunc(t.config.Routes, func(r Route) bool {
		return r.PauseObjective > 0 && slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service })
	})
}

// Match returns the route of a host whose path prefix is the longest one that
// matches path, nil if there is none. A port in host is ignored, and so is case.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests need an API key, which is so once accounts
// are configured.
func (t *Table) RequiresKey() bool { return len(t.config.Accounts) > 0 }

// AccountByKey returns the account that an API key belongs to, nil if there is
// none.
func (t *Table) AccountByKey(key string) *Account { return t.accounts[key] }

// PickService returns a service of the route with a probability in proportion to
// its weight, given a random number that is uniform over all of uint64. If all
// weights are 0, it returns the first service.
func (r *Route) PickService(random uint64) ids.Service {
	total := 0
	for _, s := range r.Splits {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Splits[0].Service
	}
	rest := int(random % uint64(total))
	for _, s := range r.Splits {
		if rest -= max(s.Weight, 0); rest < 0 {
			return s.Service
		}
	}
	return r.Splits[0].Service
}

// PriorityOf returns the priority of a request of the route: that of its account
// if set, or else that of the route. 0 is the highest; account may be nil.
func (r *Route) PriorityOf(account *Account) int {
	if account == nil || account.Priority == nil {
		return r.Priority
	}
	return *account.Priority
}

// Attempts returns the maximum number of upstreams that a request may run on:
// MaxAttempts, but at least 1.
func (r *Route) Attempts() int { return cmp.Or(max(r.MaxAttempts, 0), 1) }
