package configfeed

import (
	"context"
	"strings"
	"sync"
	"time"

	"mimosaarch.example/core/platformapi"
)

// downError is the failure of a platform out of reach.
type downError struct{}

func (downError) Error() string { return "down" }

// fakePlatform holds objects in memory. While forgetful, it drops what
// watches should tell.
type fakePlatform struct {
	mu                     sync.Mutex
	objects                map[string]platformapi.Object
	revision               int64
	changed                chan struct{}
	down, forgetful        bool
	lists, watches, failed int
}

func newPlatform() *fakePlatform {
	return &fakePlatform{objects: make(map[string]platformapi.Object), changed: make(chan struct{})}
}

// write stores an object, or deletes it when value is empty.
func (p *fakePlatform) write(key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.objects[key] = platformapi.Object{Key: key, Version: p.revision, Value: []byte(value), Deleted: value == ""}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// after gives the objects above a revision; deleted ones on request.
func (p *fakePlatform) after(prefix string, revision int64, deleted bool) (platformapi.ListReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		p.failed++
		return platformapi.ListReply{}, downError{}
	}
	reply := platformapi.ListReply{Revision: p.revision}
	for key, object := range p.objects {
		if strings.HasPrefix(key, prefix) && object.Version > revision && (deleted || !object.Deleted) {
			reply.Objects = append(reply.Objects, object)
		}
	}
	return reply, nil
}

func (p *fakePlatform) List(_ context.Context, prefix string) (platformapi.ListReply, error) {
	reply, err := p.after(prefix, 0, false)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists++
	return reply, err
}

func (p *fakePlatform) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platformapi.ListReply, error) {
	p.mu.Lock()
	p.watches++
	changed, forgetful := p.changed, p.forgetful
	p.mu.Unlock()
	reply, err := p.after(prefix, after, true)
	if forgetful {
		changed, reply.Objects = nil, nil
	}
	if err != nil || len(reply.Objects) > 0 {
		return reply, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return platformapi.ListReply{}, ctx.Err()
	}
	if forgetful {
		return reply, nil
	}
	return p.after(prefix, after, true)
}
