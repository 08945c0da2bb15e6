package configfeed

import (
	"context"
	"time"

	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/configorder"
)

// owner is the goroutine that alone holds the configuration.
type owner struct {
	feed  *Feed
	store *configorder.Store
	// sums are the Status but for what the store itself tells.
	sums Status
}

func newOwner(f *Feed) *owner {
	return &owner{feed: f, store: configorder.New(f.settings.Store)}
}

// run serves the rings until ctx ends.
func (o *owner) run(ctx context.Context) {
	for {
		select {
		case item := <-o.feed.lists.Out():
			o.take(item)
		case objects := <-o.feed.offers.Out():
			if o.apply(objects) {
				o.sums.Relayed++
				o.feed.sink(o.store.Config())
			}
		case question := <-o.feed.asks.Out():
			question(o)
		case <-ctx.Done():
			return
		}
	}
}

// take uses an answer of the platform.
func (o *owner) take(item listed) {
	o.sums.LastContact = time.Now()
	o.sums.Revision = max(o.sums.Revision, item.reply.Revision)
	changed := false
	if item.whole {
		var errs []error
		changed, errs = o.store.ApplyList(item.reply)
		o.note(errs...)
	} else {
		changed = o.apply(item.reply.Objects)
	}
	if changed {
		o.feed.sink(o.store.Config())
	}
}

// apply takes objects one by one and reports whether any changed what is in
// force.
func (o *owner) apply(objects []platformapi.Object) bool {
	changed := false
	for _, object := range objects {
		one, err := o.store.Apply(object)
		changed = changed || one
		if err != nil {
			o.note(err)
		}
	}
	return changed
}

// note counts and reports refused objects.
func (o *owner) note(errs ...error) {
	for _, err := range errs {
		o.sums.Rejected++
		o.feed.settings.OnError(err)
	}
}

// report makes the Status.
func (o *owner) report() Status {
	status := o.sums
	status.Status = o.store.Status()
	status.Versions = o.store.Summary()
	return status
}
