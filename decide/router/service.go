package router

import (
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/balancer"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/queue"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/topology"
)

// service is one routed service with its policy and its queue.
type service struct {
	def     fleet.Service
	profile fleet.Profile
	queue   *queue.Queue
	budget  *retry.Budget
	blamer  *quarantine.Detector
	// picker chooses chains of a model service, plain the upstream of a
	// plain one.
	picker balancer.Picker
	plain  *balancer.PlainPicker
	// graph holds the engines of a model service; nil when there are none.
	graph *topology.Graph
	// upstreams are all that may be given work, in the order of their names.
	upstreams []topology.Engine
	// members names the listed upstreams of either kind, leaving ones too.
	members []ids.Upstream
	// expected is the smoothed time from send to finish.
	expected time.Duration
	// retries wait out their backoff before they are queued again.
	retries []delayedRetry
}

// delayedRetry is a request that waits out its backoff before it is queued.
type delayedRetry struct {
	id ids.Request
	at time.Time
	// rejoin is the chain of the stream to rejoin; nil for a new attempt.
	rejoin topology.Chain
}

// newService makes a service without upstreams.
func newService(def fleet.Service, profile fleet.Profile, rng *rand.Rand) *service {
	s := &service{
		def:     def,
		profile: profile,
		queue:   queue.New(queueOptions(profile), rng),
		budget:  retry.NewBudget(profile.Retry),
		blamer:  quarantine.New(quarantineOptions(profile)),
		plain:   balancer.NewPlainPicker(rng.Uint64()),
	}
	s.setStrategy(rng)
	return s
}

// update puts a changed definition or policy in force.
func (s *service) update(def fleet.Service, profile fleet.Profile, rng *rand.Rand) {
	changed := profile.Strategy != s.profile.Strategy || profile.TokenInterval != s.profile.TokenInterval
	s.def = def
	s.profile = profile
	if changed {
		s.setStrategy(rng)
	}
	s.queue.SetOptions(queueOptions(profile))
	s.budget.SetPolicy(profile.Retry)
	s.blamer.SetOptions(quarantineOptions(profile))
}

// quarantineOptions takes a quarantine's bounds from a profile.
func quarantineOptions(p fleet.Profile) quarantine.Options {
	return quarantine.Options{
		Threshold: p.Health.QuarantineAfter,
		Duration:   p.Health.QuarantineFor.D(),
	}
}

// setStrategy makes the picker anew. A name that is not known, which a checked
// profile cannot hold, leaves the default strategy.
func (s *service) setStrategy(rng *rand.Rand) {
	opts := balancer.Options{TokenInterval: s.profile.TokenInterval.D()}
	picker, err := balancer.New(s.profile.Strategy, opts, rng.Uint64())
	if err != nil {
		picker, _ = balancer.New(fleet.StrategyFlow, opts, rng.Uint64())
	}
	s.picker = picker
}

// model reports whether the service is a model service.
func (s *service) model() bool { return s.def.Type == fleet.ServiceModel }

// queueOptions takes a queue's bounds from a profile.
func queueOptions(p fleet.Profile) queue.Options {
	return queue.Options{Length: p.Queue.Length, PerAccount: p.Queue.PerAccount}
}

// expectedWeight is the weight of a new figure in service.expected.
const expectedWeight = 0.1

// finished takes in how long a request took from send to finish.
func (s *service) finished(took time.Duration) {
	if s.expected == 0 {
		s.expected = took
	} else {
		s.expected += time.Duration(expectedWeight * float64(took-s.expected))
	}
	s.queue.SetServiceTime(s.expected)
}

// allows reports whether the account may call the service.
func allows(account fleet.Account, name ids.Service) bool {
	if len(account.Services) == 0 {
		return true
	}
	for _, s := range account.Services {
		if s == name {
			return true
		}
	}
	return false
}
