package claims

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

// mode is how the fakePlatform answers calls.
type mode int

const (
	up mode = iota
	// down: calls fail without an effect.
	down
	// silent: writes take effect, but calls are not answered.
	silent
	// lossy: writes take effect, but their answers are lost at once.
	lossy
)

// testShards is the number of shards in most tests.
const testShards = 4

// callLatency is the latency of an answered call.
const callLatency = 10 * time.Millisecond

// fakePlatform stores objects in memory.
type fakePlatform struct {
	mu            sync.Mutex
	mode          mode
	revision      int64
	objects       map[string]platformapi.Object
	writes        int
	open, maxOpen int
}

func (p *fakePlatform) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// simulateCall waits for the latency of a call and returns the mode at its end.
func (p *fakePlatform) simulateCall() mode {
	p.mu.Lock()
	p.open++
	p.maxOpen = max(p.maxOpen, p.open)
	p.mu.Unlock()
	<-time.After(callLatency)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	return p.mode
}

func (p *fakePlatform) Get(ctx context.Context, key string) (platformapi.Object, error) {
	switch p.simulateCall() {
	case down:
		return platformapi.Object{}, &platform.UnavailableError{}
	case silent:
		<-ctx.Done()
		return platformapi.Object{}, &platform.UnavailableError{Cause: ctx.Err()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	object, ok := p.objects[key]
	if !ok {
		return platformapi.Object{}, &platform.NotFoundError{Key: key}
	}
	return object, nil
}

func (p *fakePlatform) Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error) {
	m := p.simulateCall()
	if m == down {
		return platformapi.Object{}, &platform.UnavailableError{}
	}
	object, err := p.put(key, value, ifMatch)
	switch m {
	case silent:
		<-ctx.Done()
		return platformapi.Object{}, &platform.UnavailableError{MayHaveTakenEffect: true, Cause: ctx.Err()}
	case lossy:
		return platformapi.Object{}, &platform.UnavailableError{MayHaveTakenEffect: true}
	}
	return object, err
}

// put makes a conditional update.
func (p *fakePlatform) put(key string, value []byte, ifMatch int64) (platformapi.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.objects[key]; current.Version != ifMatch {
		return platformapi.Object{}, &platform.ConflictError{Current: current}
	}
	p.writes++
	p.revision++
	p.objects[key] = platformapi.Object{Key: key, Version: p.revision, Value: value}
	return p.objects[key], nil
}

// holds reports whether the claim of a request is stored in the given state.
func (p *fakePlatform) holds(request ids.Request, state router.ClaimState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, object := range p.objects {
		records, err := claim.Inspect(object.Value, testShards)
		if err != nil {
			panic(err)
		}
		for _, r := range records {
			if r.Request == request && r.State == state {
				return true
			}
		}
	}
	return false
}

// results is a Sink that records each result and its time.
type results struct {
	mu       sync.Mutex
	ended    map[ids.Request]router.ClaimEnded
	at       map[ids.Request]time.Time
	released map[ids.Request]bool
}

func (r *results) ClaimEnded(ev router.ClaimEnded) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[ev.ID] = ev
	r.at[ev.ID] = time.Now()
}

func (r *results) ClaimReleased(ev router.ClaimReleased) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released[ev.ID] = ev.Confirmed
}
