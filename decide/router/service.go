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

// service is a service with its policy, its queue and its upstreams.
type service struct {
	def        fleet.Service
	profile    fleet.Profile
	queue      *queue.Queue
	budget     *retry.Budget
	quarantine *quarantine.Detector
	// chainPicker chooses the chains of a model service, plainPicker the upstream
	// of a plain one.
	chainPicker balancer.Picker
	plainPicker *balancer.PlainPicker
	// graph connects the usable engines of a model service; nil if there are
	// none.
	graph *topology.Graph
	// upstreams holds the upstreams that may get new work, sorted by ID.
	upstreams []topology.Engine
	// members holds the IDs of all listed upstreams, including leaving ones,
	// sorted.
	members []ids.Upstream
	// meanServiceTime is a moving average of the time from send to finish.
	meanServiceTime time.Duration
	// retries holds the requests that wait before they are queued again.
	retries []delayedRetry
}

// delayedRetry is a request that is queued again, or rejoins its stream, at a
// given time.
type delayedRetry struct {
	id ids.Request
	at time.Time
	// rejoin is the chain of the stream to rejoin; nil for a new attempt.
	rejoin topology.Chain
}

// newService returns a service without upstreams.
func newService(def fleet.Service, profile fleet.Profile, rng *rand.Rand) *service {
	s := &service{
		def:         def,
		profile:     profile,
		queue:       queue.New(queueOptions(profile), rng),
		budget:      retry.NewBudget(profile.Retry),
		quarantine:  quarantine.New(quarantineOptions(profile)),
		plainPicker: balancer.NewPlainPicker(rng.Uint64()),
	}
	s.setStrategy(rng)
	return s
}

// update applies a changed definition or profile.
func (s *service) update(def fleet.Service, profile fleet.Profile, rng *rand.Rand) {
	changed := profile.Strategy != s.profile.Strategy || profile.TokenInterval != s.profile.TokenInterval
	s.def = def
	s.profile = profile
	if changed {
		s.setStrategy(rng)
	}
	s.queue.SetOptions(queueOptions(profile))
	s.budget.SetPolicy(profile.Retry)
	s.quarantine.SetOptions(quarantineOptions(profile))
}

// quarantineOptions returns the quarantine options of a profile.
func quarantineOptions(p fleet.Profile) quarantine.Options {
	return quarantine.Options{
		Threshold: p.Health.QuarantineAfter,
		Duration:  p.Health.QuarantineFor.D(),
	}
}

// setStrategy creates the chain picker. An unknown strategy, which validation of
// profiles excludes, selects the default one.
func (s *service) setStrategy(rng *rand.Rand) {
	opts := balancer.Options{TokenInterval: s.profile.TokenInterval.D()}
	picker, err := balancer.New(s.profile.Strategy, opts, rng.Uint64())
	if err != nil {
		picker, _ = balancer.New(fleet.StrategyFlow, opts, rng.Uint64())
	}
	s.chainPicker = picker
}

// isModel reports whether the service is a model service, as opposed to a plain
// one.
func (s *service) isModel() bool { return s.def.Type == fleet.ServiceModel }

// queueOptions returns the queue options of a profile.
func queueOptions(p fleet.Profile) queue.Options {
	return queue.Options{Length: p.Queue.Length, PerAccount: p.Queue.PerAccount}
}

// serviceTimeSmoothing is the weight of a new sample in meanServiceTime.
const serviceTimeSmoothing = 0.1

// observeServiceTime updates the mean service time with the time that a request
// took from send to finish.
func (s *service) observeServiceTime(took time.Duration) {
	if s.meanServiceTime == 0 {
		s.meanServiceTime = took
	} else {
		s.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(took-s.meanServiceTime))
	}
	s.queue.SetServiceTime(s.meanServiceTime)
}

// mayCall reports whether the account may call the service. An account without a
// list of services may call all.
func mayCall(account fleet.Account, name ids.Service) bool {
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
