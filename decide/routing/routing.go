// Package routing decides where a request belongs: which route its host and
// path select, which client account its key names, and which service of a
// weighted split it goes to.
//
// A Table is built once for each configuration and never changes, so any
// goroutine may read it.
package routing

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Kind tells how the requests of a route may be repeated and answered.
type Kind int

const (
	// NonIdempotent requests run at most once for each client attempt.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// Route is where requests of one host and path prefix go.
type Route struct {
	// Name of the route, for logs.
	Name string
	// Host and PathPrefix select the route; the longest prefix wins. A prefix
	// begins and ends with a slash.
	Host, PathPrefix string
	Kind             Kind
	// Resumable streams may be continued after their last event elsewhere.
	Resumable bool
	// Splits share the route's requests among services. At least one.
	Splits []Split
	// MaxAttempts is the most upstreams on which one request may run.
	MaxAttempts int
	// Timeout is the longest a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to a stream's first event.
	LatencyObjective time.Duration `json:"Objective"`
	// PauseObjective is the longest pause between two events of a stream.
	PauseObjective time.Duration
	// Priority ranks the route's requests; 0 goes first.
	Priority int
	// AuthExempt routes need no key.
	AuthExempt bool `json:"Open"`
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Split is one service of a route and its weight among the others.
type Split struct {
	Service ids.Service
	Weight  int
}

// Account is a client account with the keys that name it.
type Account struct {
	Name ids.Account
	Keys []string
	// Priority goes before the route's where it is set.
	Priority *int
}

// Service is a routed service.
type Service struct {
	Name ids.Service
	// Model is set for services of model engines.
	Model *layered.Model
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// ConfigError tells why a configuration cannot be put in force.
type ConfigError struct {
	// Version is the configuration's; Item names what is wrong in it.
	Version int64
	Item    string
	Reason  string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration %d: %s: %s", e.Version, e.Item, e.Reason)
}

// Table answers for one configuration.
type Table struct {
	config   Config
	routes   map[routeKey]*Route
	accounts map[string]*Account
	services map[ids.Service]*Service
}

// routeKey selects a route.
type routeKey struct{ host, prefix string }

// Build checks a configuration and makes its table. The error is a
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
	return t, nil
}

// addRoute checks one route and adds it.
func (t *Table) addRoute(r *Route) error {
	invalid := func(reason string) error {
		return &ConfigError{Version: t.config.Version, Item: "route " + r.Name, Reason: reason}
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid("the path prefix does not begin and end with a slash")
	}
	if len(r.Splits) == 0 {
		return invalid("no service")
	}
	key := routeKey{strings.ToLower(r.Host), r.PathPrefix}
	if t.routes[key] != nil {
		return invalid("host and path prefix stand twice")
	}
	t.routes[key] = r
	return nil
}

// Version gives the configuration's version.
func (t *Table) Version() int64 { return t.config.Version }

// Limits gives the bounds on clients.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services gives all services; the slice must not be changed.
func (t *Table) Services() []Service { return t.config.Services }

// ServiceNames gives the names of all services.
func (t *Table) ServiceNames() []ids.Service {
	names := make([]ids.Service, len(t.config.Services))
	for i, s := range t.config.Services {
		names[i] = s.Name
	}
	return names
}

// Service gives one service; nil if there is none of that name.
func (t *Table) Service(name ids.Service) *Service { return t.services[name] }

// Match gives the route with the longest prefix of path on host, without its
// port; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests must name a client account.
func (t *Table) RequiresKey() bool { return len(t.config.Accounts) > 0 }

// AccountByKey gives the client account of a key; nil if no account has it.
func (t *Table) AccountByKey(key string) *Account { return t.accounts[key] }

// PickService gives the service for a draw that is uniform over all of uint64.
func (r *Route) PickService(draw uint64) ids.Service {
	total := 0
	for _, s := range r.Splits {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Splits[0].Service
	}
	at := int(draw % uint64(total))
	for _, s := range r.Splits {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return r.Splits[0].Service
}

// PriorityOf ranks a request of the route; account may be nil. 0 goes first.
func (r *Route) PriorityOf(account *Account) int {
	if account == nil || account.Priority == nil {
		return r.Priority
	}
	return *account.Priority
}

// Attempts gives the most upstreams a request may run on, at least 1.
func (r *Route) Attempts() int { return cmp.Or(max(r.MaxAttempts, 0), 1) }
