package fleet

import (
	"time"

	"go.yaml.in/yaml/v3"
)

// Bounds of values.
const (
	maxQueue       = 1 << 20
	maxAttempts    = 100
	maxRate        = 1e6
	maxWeight      = 1000
	maxLayers      = 4096
	maxFailures    = 1000
	leastRatio     = 0.001
	mostRatio      = 10
	leastRate      = 0.001
	leastTime      = time.Millisecond
	mostTime       = 24 * time.Hour
	leastRetention = time.Minute
	mostRetention  = 31 * 24 * time.Hour
)

// profile reads a Profile.
func (r *reader) profile(node *yaml.Node) Document {
	var p Profile
	seen := r.mapping(node, "", fields{
		"kind":            oneOf(&p.Kind, KindProfile),
		"name":            name(&p.Name),
		"change":          name(&p.Change),
		"strategy":        oneOf(&p.Strategy, StrategyFlow, StrategyRoundRobin, StrategyTwoChoices, StrategyLeastLoaded),
		"queue":           object(queueFields(&p.Queue)),
		"retry":           object(retryFields(&p.Retry)),
		"health":          object(healthFields(&p.Health)),
		"deadline":        duration(&p.Deadline, leastTime, mostTime),
		"token_interval":  duration(&p.TokenInterval, leastTime, mostTime),
		"stall_after":     duration(&p.StallAfter, leastTime, mostTime),
		"connect_timeout": duration(&p.ConnectTimeout, leastTime, mostTime),
		"claim_retention": duration(&p.ClaimRetention, leastRetention, mostRetention),
	})
	r.require(node, "", seen, "name")
	return p.WithDefaults()
}

// queueFields are the fields of a QueuePolicy.
func queueFields(p *QueuePolicy) fields {
	return fields{
		"length":      whole(&p.Length, 1, maxQueue),
		"per_account": whole(&p.PerAccount, 1, maxQueue),
	}
}

// retryFields are the fields of a RetryPolicy.
func retryFields(p *RetryPolicy) fields {
	return fields{
		"attempts":     whole(&p.Attempts, 1, maxAttempts),
		"budget_ratio": number(&p.BudgetRatio, leastRatio, mostRatio),
		"budget_min":   number(&p.BudgetMin, leastRatio, maxRate),
	}
}

// healthFields are the fields of a HealthPolicy.
func healthFields(p *HealthPolicy) fields {
	return fields{
		"failures":         whole(&p.Failures, 1, maxFailures),
		"eject_for":        duration(&p.EjectFor, leastTime, mostTime),
		"floor_percent":    whole(&p.FloorPercent, 1, 100),
		"quarantine_after": whole(&p.QuarantineAfter, 1, maxFailures),
		"quarantine_for":   duration(&p.QuarantineFor, leastTime, mostTime),
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
		"layers":  whole(&s.Layers, 1, maxLayers),
		"routes":  routes(&s.Routes),
		"leaving": names(&s.Leaving, "upstream"),
	})
	r.require(node, "", seen, "name", "type", "profile")
	r.matchType(node, s.Type, seen)
	return s.WithDefaults()
}

// matchType checks that a service has the fields of its type and no others.
func (r *reader) matchType(node *yaml.Node, serviceType string, seen map[string]bool) {
	wanted, foreign := "layers", "routes"
	switch serviceType {
	case ServiceModel:
	case ServicePlain:
		wanted, foreign = foreign, wanted
	default:
		return
	}
	r.require(node, "", seen, wanted)
	if seen[foreign] {
		r.fail(node, foreign, "no such field in a service of type "+serviceType)
	}
}

// routes reads the routes of a plain service.
func routes(target *[]Route) field {
	return func(r *reader, node *yaml.Node, path string) {
		known := make(map[[2]string]bool)
		const expected = "a sequence of at least one route"
		r.sequence(node, path, expected, func(r *reader, node *yaml.Node, path string) {
			route := r.route(node, path)
			id := [2]string{route.Method, route.Prefix}
			if known[id] && route.Prefix != "" {
				r.fail(node, path, "each method and prefix only once")
			}
			known[id] = true
			*target = append(*target, route)
		})
		if node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
			r.fail(node, path, expected)
		}
	}
}

// route reads one Route.
func (r *reader) route(node *yaml.Node, path string) Route {
	var route Route
	seen := r.mapping(node, path, fields{
		"method":     oneOf(&route.Method, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
		"prefix":     text(&route.Prefix, prefixForm, prefixExpected),
		"idempotent": truth(&route.Idempotent),
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

// accountList reads the accounts of a shard.
func accountList(target *[]Account) field {
	return func(r *reader, node *yaml.Node, path string) {
		ids := make(map[string]bool)
		keys := make(map[string]bool)
		r.sequence(node, path, "a sequence of accounts", func(r *reader, node *yaml.Node, path string) {
			account := r.account(node, path)
			r.once(node, join(path, "id"), string(account.ID), ids)
			r.once(node, join(path, "key_sha256"), account.KeySHA256, keys)
			*target = append(*target, account)
		})
	}
}

// once notes a value that stands twice; an empty value was refused already.
func (r *reader) once(node *yaml.Node, path, value string, known map[string]bool) {
	if value == "" {
		return
	}
	if known[value] {
		r.fail(&yaml.Node{Kind: yaml.ScalarNode, Line: node.Line, Value: value}, path, "each value only once in a document")
	}
	known[value] = true
}
