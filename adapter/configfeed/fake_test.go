package configfeed

import (
	"context"
	"strings"
	"sync"
	"time"

	"mimosaarch.example/core/platformapi"
)

// unreachableError is the error of an unreachable platform.
type unreachableError struct{}

func (unreachableError) Error() string { return "platform unreachable" }

// fakePlatform holds objects in memory. While dropsChanges is set, watches return no
// changes.
type fakePlatform struct {
	mu                     sync.Mutex
	objects                map[string]platformapi.Object
	revision               int64
	changed                chan struct{}
	down, dropsChanges     bool
	lists, watches, failed int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: make(map[string]platformapi.Object), changed: make(chan struct{})}
}

// write stores an object, or deletes it if value is empty.
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

// objectsAfter returns the objects with a version above revision, and deleted ones too
// if requested.
func (p *fakePlatform) objectsAfter(prefix string, revision int64, deleted bool) (platformapi.ListReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		p.failed++
		return platformapi.ListReply{}, unreachableError{}
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
	reply, err := p.objectsAfter(prefix, 0, false)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists++
	return reply, err
}

func (p *fakePlatform) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platformapi.ListReply, error) {
	p.mu.Lock()
	p.watches++
	changed, dropsChanges := p.changed, p.dropsChanges
	p.mu.Unlock()
	reply, err := p.objectsAfter(prefix, after, true)
	if dropsChanges {
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
	if dropsChanges {
		return reply, nil
	}
	return p.objectsAfter(prefix, after, true)
}
