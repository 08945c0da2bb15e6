package fleet

import (
	"time"

	"go.yaml.in/yaml/v3"
)

// Limits of values.
const (
	maxQueueLength = 1 << 20
	maxAttempts    = 100
	maxRate        = 1e6
	maxWeight      = 1000
	maxLayers      = 4096
	maxFailures    = 1000
	minRatio       = 0.001
	maxRatio       = 10
	minRate        = 0.001
	minDuration    = time.Millisecond
	maxDuration    = 24 * time.Hour
	minRetention   = time.Minute
	maxRetention   = 31 * 24 * time.Hour
)

// profile reads a Profile.
func (r *reader) profile(node *yaml.Node) Document {
	var p Profile
	seen := r.mapping(node, "", fields{
		"kind":            oneOf(&p.Kind, KindProfile),
		"name":            name(&p.Name),
		"change":          name(&p.Change),
		"strategy":        oneOf(&p.Strategy, StrategyFlow, StrategyRoundRobin, StrategyTwoChoices, StrategyLeastLoaded),
		"queue":           submapping(queueFields(&p.Queue)),
		"retry":           submapping(retryFields(&p.Retry)),
		"health":          submapping(healthFields(&p.Health)),
		"deadline":        duration(&p.Deadline, minDuration, maxDuration),
		"token_interval":  duration(&p.TokenInterval, minDuration, maxDuration),
		"stall_after":     duration(&p.StallAfter, minDuration, maxDuration),
		"connect_timeout": duration(&p.ConnectTimeout, minDuration, maxDuration),
		"claim_retention": duration(&p.ClaimRetention, minRetention, maxRetention),
	})
	r.require(node, "", seen, "name")
	return p.WithDefaults()
}

// queueFields returns the fields of a QueuePolicy.
func queueFields(p *QueuePolicy) fields {
	return fields{
		"length":      integer(&p.Length, 1, maxQueueLength),
		"per_account": integer(&p.PerAccount, 1, maxQueueLength),
	}
}

// retryFields returns the fields of a RetryPolicy.
func retryFields(p *RetryPolicy) fields {
	return fields{
		"attempts":     integer(&p.Attempts, 1, maxAttempts),
		"budget_ratio": number(&p.BudgetRatio, minRatio, maxRatio),
		"budget_min":   number(&p.BudgetMin, minRatio, maxRate),
	}
}

// healthFields returns the fields of a HealthPolicy.
func healthFields(p *HealthPolicy) fields {
	return fields{
		"failures":         integer(&p.Failures, 1, maxFailures),
		"eject_for":        duration(&p.EjectFor, minDuration, maxDuration),
		"floor_percent":    integer(&p.FloorPercent, 1, 100),
		"quarantine_after": integer(&p.QuarantineAfter, 1, maxFailures),
		"quarantine_for":   duration(&p.QuarantineFor, minDuration, maxDuration),
	}
}

// service reads a Service.
func (r *reader) service(node *yaml.Node) Document {
	var s Service
	seen := r.mapping(node, "", fields{
		"kind":    oneOf(&s.Kind, KindService),
		"name":    name(&s.Name),
		"change":  name(&s.Change),
		"type":    oneOf(&s.Type, ServiceModel, ServicePlain),
		"profile": name(&s.Profile),
		"layers":  integer(&s.Layers, 1, maxLayers),
		"routes":  routes(&s.Routes),
		"leaving": names(&s.Leaving, "upstream"),
	})
	r.require(node, "", seen, "name", "type", "profile")
	r.checkTypeFields(node, s.Type, seen)
	return s.WithDefaults()
}

// checkTypeFields checks that a service has the field that its type requires
// (layers or routes) and not the other one.
func (r *reader) checkTypeFields(node *yaml.Node, serviceType string, seen map[string]bool) {
	required, forbidden := "layers", "routes"
	switch serviceType {
	case ServiceModel:
	case ServicePlain:
		required, forbidden = forbidden, required
	default:
		return
	}
	r.require(node, "", seen, required)
	if seen[forbidden] {
		r.addViolation(node, forbidden, "no such field in a service of type "+serviceType)
	}
}

// routes returns a field that reads the routes of a plain service.
func routes(target *[]Route) field {
	return func(r *reader, node *yaml.Node, path string) {
		known := make(map[[2]string]bool)
		const expected = "a sequence of at least one route"
		r.sequence(node, path, expected, func(r *reader, node *yaml.Node, path string) {
			route := r.route(node, path)
			id := [2]string{route.Method, route.Prefix}
			if known[id] && route.Prefix != "" {
				r.addViolation(node, path, "each method and prefix only once")
			}
			known[id] = true
			*target = append(*target, route)
		})
		if node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
			r.addViolation(node, path, expected)
		}
	}
}

// route reads a Route.
func (r *reader) route(node *yaml.Node, path string) Route {
	var route Route
	seen := r.mapping(node, path, fields{
		"method":     oneOf(&route.Method, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
		"prefix":     text(&route.Prefix, prefixPattern, prefixExpected),
		"idempotent": boolean(&route.Idempotent),
	})
	r.require(node, path, seen, "method", "prefix")
	return route
}

// accounts reads an Accounts.
func (r *reader) accounts(node *yaml.Node) Document {
	var a Accounts
	seen := r.mapping(node, "", fields{
		"kind":     oneOf(&a.Kind, KindAccounts),
		"name":     name(&a.Name),
		"change":   name(&a.Change),
		"accounts": accountList(&a.Accounts),
	})
	r.require(node, "", seen, "name", "accounts")
	return a.WithDefaults()
}

// accountList returns a field that reads the accounts of a shard.
func accountList(target *[]Account) field {
	return func(r *reader, node *yaml.Node, path string) {
		ids := make(map[string]bool)
		keys := make(map[string]bool)
		r.sequence(node, path, "a sequence of accounts", func(r *reader, node *yaml.Node, path string) {
			account := r.account(node, path)
			r.rejectDuplicate(node, joinPath(path, "id"), string(account.ID), ids)
			r.rejectDuplicate(node, joinPath(path, "key_sha256"), account.KeySHA256, keys)
			*target = append(*target, account)
		})
	}
}

// rejectDuplicate adds a violation for a value that occurred before. An empty value
// is ignored, because it is a violation already.
func (r *reader) rejectDuplicate(node *yaml.Node, path, value string, known map[string]bool) {
	if value == "" {
		return
	}
	if known[value] {
		r.addViolation(&yaml.Node{Kind: yaml.ScalarNode, Line: node.Line, Value: value}, path, "each value only once in a document")
	}
	known[value] = true
}
