package configfeed

import (
	"context"
	"time"

	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/configorder"
)

// owner holds the configuration. Only its own goroutine accesses it.
type owner struct {
	feed  *Feed
	store *configorder.Store
	// status is the Status without the parts that the configuration store provides.
	status Status
}

func newOwner(f *Feed) *owner {
	return &owner{feed: f, store: configorder.New(f.settings.Store)}
}

// run applies replies, relayed objects and queries until ctx ends.
func (o *owner) run(ctx context.Context) {
	for {
		select {
		case reply := <-o.feed.replies.Out():
			o.applyReply(reply)
		case objects := <-o.feed.offered.Out():
			if o.apply(objects) {
				o.status.Relayed++
				o.feed.sink(o.store.Config())
			}
		case run := <-o.feed.queries.Out():
			run(o)
		case <-ctx.Done():
			return
		}
	}
}

// applyReply applies an answer of the platform.
func (o *owner) applyReply(reply platformReply) {
	o.status.LastContact = time.Now()
	o.status.Revision = max(o.status.Revision, reply.content.Revision)
	changed := false
	if reply.isList {
		var errs []error
		changed, errs = o.store.ApplyList(reply.content)
		o.reject(errs...)
	} else {
		changed = o.apply(reply.content.Objects)
	}
	if changed {
		o.feed.sink(o.store.Config())
	}
}

// apply applies objects one by one and reports whether the effective configuration
// changed.
func (o *owner) apply(objects []platformapi.Object) bool {
	changed := false
	for _, object := range objects {
		updated, err := o.store.Apply(object)
		changed = changed || updated
		if err != nil {
			o.reject(err)
		}
	}
	return changed
}

// reject counts rejected objects and passes the errors to OnError.
func (o *owner) reject(errs ...error) {
	for _, err := range errs {
		o.status.Rejected++
		o.feed.settings.OnError(err)
	}
}

// snapshot returns the current Status.
func (o *owner) snapshot() Status {
	status := o.status
	status.Status = o.store.Status()
	status.Versions = o.store.Summary()
	return status
}
