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
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/order"
)

// leaseObject stores the lease in an object on the platform. It implements
// leader.Store.
type leaseObject struct{ opts Options }

// Call implements leader.Store. It reads or writes the lease object.
func (l *leaseObject) Call(ctx context.Context, command lease.Command) lease.Answer {
	callCtx, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	key := LeasePrefix + l.opts.LeaseName
	var object platformapi.Object
	var err error
	switch c := command.(type) {
	case lease.Write:
		object, err = l.opts.Platform.Put(callCtx, key, encodeRecord(c.Record), c.IfMatch.Number)
	default:
		object, err = l.opts.Platform.Get(callCtx, key)
	}
	if err != nil {
		return l.errorAnswer(err)
	}
	return objectAnswer(object)
}

// errorAnswer returns the answer for a failed call.
func (l *leaseObject) errorAnswer(err error) lease.Answer {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &missing):
		return lease.Answer{Kind: lease.Absent}
	case errors.As(err, &conflict) && conflict.Current.Version == platform.UnknownVersion:
		// The write was refused because of a newer version, but the response lacks that
		// version. With the answer Lost, the lease is read again.
		return lease.Answer{Kind: lease.Lost}
	case errors.As(err, &conflict):
		return objectAnswer(conflict.Current)
	}
	l.opts.Count(PlatformCallsFailed, 1)
	if platform.MayHaveTakenEffect(err) {
		return lease.Answer{Kind: lease.Lost}
	}
	return lease.Answer{Kind: lease.Failed}
}

// objectAnswer returns the answer for an object that was read or written.
func objectAnswer(object platformapi.Object) lease.Answer {
	if object.Version == 0 || object.Deleted {
		return lease.Answer{Kind: lease.Absent}
	}
	version := revision.Of(object.Version)
	var record lease.Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return lease.Answer{Kind: lease.Unreadable, Version: version}
	}
	return lease.Answer{Kind: lease.Found, Version: version, Record: record}
}

// readPlans reads the plans in its own goroutine.
func (c *Controller) readPlans(ctx context.Context) {
	c.readingPlans = true
	c.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
		defer cancel()
		reply, err := c.opts.Platform.List(callCtx, order.KeyPrefix)
		c.post(ctx, func(now time.Time) {
			c.readingPlans = false
			c.lastRead = now
			if err != nil {
				c.opts.Count(PlatformCallsFailed, 1)
				return
			}
			c.applyPlans(reply)
		})
	})
}

// applyPlans sets the plans with a new version and drops those without an object.
// If a plan is invalid, the previous one stays active.
func (c *Controller) applyPlans(reply platformapi.ListReply) {
	listed := make(map[ids.Service]bool)
	for _, object := range reply.Objects {
		service := ids.Service(strings.TrimPrefix(object.Key, order.KeyPrefix))
		listed[service] = true
		if object.Version > c.planVersions[service] {
			c.planVersions[service] = object.Version
			c.applyPlan(service, object.Value)
		}
	}
	for service := range c.planVersions {
		if !listed[service] {
			delete(c.planVersions, service)
			c.planner.DropPlan(service)
		}
	}
}

// applyPlan sets one plan. It counts an invalid one as refused.
func (c *Controller) applyPlan(service ids.Service, value []byte) {
	plan, err := order.ParsePlan(service, value)
	if err == nil {
		err = c.planner.SetPlan(service, plan)
	}
	if err != nil {
		c.opts.Count(PlansRefused, 1)
	}
}
