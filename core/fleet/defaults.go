package fleet

import (
	"cmp"
	"time"
)

// Defaults of a Profile.
const (
	defaultDeadline        = Duration(60 * time.Second)
	defaultTokenInterval   = Duration(80 * time.Millisecond)
	defaultStallAfter      = Duration(5 * time.Second)
	defaultConnectTimeout  = Duration(500 * time.Millisecond)
	defaultClaimRetention  = Duration(24 * time.Hour)
	defaultQueueLength     = 256
	defaultQueuePerAccount = 128
	defaultAttempts        = 4
	defaultBudgetRatio     = 0.2
	defaultBudgetMin       = 3
	defaultFailures        = 3
	defaultEjectFor        = Duration(time.Second)
	defaultFloorPercent    = 30
	defaultQuarantineAfter = 2
	defaultQuarantineFor   = Duration(10 * time.Minute)
)

// Defaults of an Account.
const (
	defaultRate       = 10
	defaultBurstRatio = 2
	minBurst          = 1
	defaultWeight     = 1
)

// DefaultProfile returns a profile without a name in which each field has its
// default.
func DefaultProfile() Profile {
	return Profile{Kind: KindProfile}.WithDefaults()
}

// WithDefaults returns a copy in which each unset field has its default.
func (p Profile) WithDefaults() Profile {
	setDefault(&p.Strategy, StrategyFlow)
	setDefault(&p.Deadline, defaultDeadline)
	setDefault(&p.TokenInterval, defaultTokenInterval)
	setDefault(&p.StallAfter, defaultStallAfter)
	setDefault(&p.ConnectTimeout, defaultConnectTimeout)
	setDefault(&p.ClaimRetention, defaultClaimRetention)
	setDefault(&p.Queue.Length, defaultQueueLength)
	setDefault(&p.Queue.PerAccount, min(defaultQueuePerAccount, p.Queue.Length))
	setDefault(&p.Retry.Attempts, defaultAttempts)
	setDefault(&p.Retry.BudgetRatio, defaultBudgetRatio)
	setDefault(&p.Retry.BudgetMin, defaultBudgetMin)
	setDefault(&p.Health.Failures, defaultFailures)
	setDefault(&p.Health.EjectFor, defaultEjectFor)
	setDefault(&p.Health.FloorPercent, defaultFloorPercent)
	setDefault(&p.Health.QuarantineAfter, defaultQuarantineAfter)
	setDefault(&p.Health.QuarantineFor, defaultQuarantineFor)
	return p
}

// WithDefaults returns a copy in which Idempotent is set on each route. The routes
// are copied too.
func (s Service) WithDefaults() Service {
	if s.Routes == nil {
		return s
	}
	routes := make([]Route, len(s.Routes))
	for i, route := range s.Routes {
		idempotent := route.IsIdempotent()
		route.Idempotent = &idempotent
		routes[i] = route
	}
	s.Routes = routes
	return s
}

// WithDefaults returns a copy in which each account has its defaults. The accounts
// are copied too.
func (a Accounts) WithDefaults() Accounts {
	if a.Accounts == nil {
		return a
	}
	accounts := make([]Account, len(a.Accounts))
	for i, account := range a.Accounts {
		accounts[i] = account.WithDefaults()
	}
	a.Accounts = accounts
	return a
}

// WithDefaults returns a copy in which each unset field has its default.
func (a Account) WithDefaults() Account {
	setDefault(&a.Rate, defaultRate)
	setDefault(&a.Burst, max(minBurst, defaultBurstRatio*a.Rate))
	setDefault(&a.Weight, defaultWeight)
	return a
}

// IsIdempotent reports whether a call on the route may be repeated: as the document
// says, or else by its method.
func (r Route) IsIdempotent() bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	return idempotentMethods[r.Method]
}

// idempotentMethods are the methods that are idempotent according to RFC 9110.
var idempotentMethods = map[string]bool{
	"GET":     true,
	"HEAD":    true,
	"OPTIONS": true,
	"TRACE":   true,
	"PUT":     true,
	"DELETE":  true,
}

// setDefault sets a field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	*field = cmp.Or(*field, value)
}
