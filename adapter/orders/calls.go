package orders

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/order"
)

// leaseObject is the lease's object on the platform. It implements leader.Store.
type leaseObject struct{ opts Options }

// Call implements leader.Store.
func (l *leaseObject) Call(ctx context.Context, command lease.Command) lease.Answer {
	limit, done := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer done()
	key := LeasePrefix + l.opts.LeaseName
	var object platformapi.Object
	var err error
	switch c := command.(type) {
	case lease.Write:
		object, err = l.opts.Platform.Put(limit, key, encode(c.Record), c.IfMatch)
	default:
		object, err = l.opts.Platform.Get(limit, key)
	}
	if err != nil {
		return l.failed(err)
	}
	return found(object)
}

// failed turns a failure into an answer.
func (l *leaseObject) failed(err error) lease.Answer {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &missing):
		return lease.Answer{Kind: lease.Absent}
	case errors.As(err, &conflict) && conflict.Current.Version == platform.UnknownVersion:
		// Refused for certain, but by what has to be read.
		return lease.Answer{Kind: lease.Lost}
	case errors.As(err, &conflict):
		return found(conflict.Current)
	}
	l.opts.Count(PlatformCallsFailed, 1)
	if platform.MayHaveTakenEffect(err) {
		return lease.Answer{Kind: lease.Lost}
	}
	return lease.Answer{Kind: lease.Failed}
}

// found turns an object into an answer.
func found(object platformapi.Object) lease.Answer {
	if object.Version == 0 || object.Deleted {
		return lease.Answer{Kind: lease.Absent}
	}
	var record lease.Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return lease.Answer{Kind: lease.Unreadable, Version: object.Version}
	}
	return lease.Answer{Kind: lease.Found, Version: object.Version, Record: record}
}

// readPlans reads the plans in a goroutine of its own.
func (d *Controller) readPlans(ctx context.Context) {
	d.reading = true
	d.calls.Go(func() {
		limit, done := context.WithTimeout(ctx, d.opts.CallTimeout)
		defer done()
		reply, err := d.opts.Platform.List(limit, order.KeyPrefix)
		d.put(ctx, func(now time.Time) {
			d.reading = false
			d.readAt = now
			if err != nil {
				d.opts.Count(PlatformCallsFailed, 1)
				return
			}
			d.setPlans(reply)
		})
	})
}

// setPlans puts the plans in force that are new, and drops those that are
// gone. One that is not valid leaves the last one in force.
func (d *Controller) setPlans(reply platformapi.ListReply) {
	named := make(map[ids.Service]bool)
	for _, object := range reply.Objects {
		service := ids.Service(strings.TrimPrefix(object.Key, order.KeyPrefix))
		named[service] = true
		if object.Version > d.plans[service] {
			d.plans[service] = object.Version
			d.setPlan(service, object.Value)
		}
	}
	for service := range d.plans {
		if !named[service] {
			delete(d.plans, service)
			d.planner.DropPlan(service)
		}
	}
}

// setPlan puts one plan in force.
func (d *Controller) setPlan(service ids.Service, value []byte) {
	plan, err := order.ParsePlan(service, value)
	if err == nil {
		err = d.planner.SetPlan(service, plan)
	}
	if err != nil {
		d.opts.Count(PlansRefused, 1)
	}
}
