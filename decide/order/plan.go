package order

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"mimosaarch.example/core/ids"
)

// PlanError reports that a plan was refused.
type PlanError struct {
	Service ids.Service
	// Engine is the invalid entry; empty if the fault is not in a single entry.
	Engine ids.Upstream
	Detail string
	// Cause is the JSON decoder's error; nil for other faults.
	Cause error
}

// Error implements error.
func (e *PlanError) Error() string {
	if e.Engine == "" {
		return fmt.Sprintf("order plan of service %s: %s", e.Service, e.Detail)
	}
	return fmt.Sprintf("order plan of service %s: engine %s: %s", e.Service, e.Engine, e.Detail)
}

// Unwrap returns Cause.
func (e *PlanError) Unwrap() error { return e.Cause }

// ParsePlan decodes and checks a plan from its object's value. The error is a
// *PlanError.
func ParsePlan(service ids.Service, value []byte) (Plan, error) {
	var plan Plan
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return Plan{}, &PlanError{Service: service, Detail: err.Error(), Cause: err}
	}
	return plan, plan.check(service)
}

// check returns a *PlanError if the plan has invalid entries.
func (p Plan) check(service ids.Service) error {
	if p.Layers < 1 {
		return &PlanError{Service: service, Detail: "layers must be at least 1"}
	}
	seen := make(map[ids.Upstream]bool)
	for _, w := range p.Engines {
		switch {
		case w.Engine == "" || w.Model == "":
			return &PlanError{Service: service, Engine: w.Engine, Detail: "engine or model is empty"}
		case w.First < 0 || w.Last < w.First || w.Last >= p.Layers:
			return &PlanError{Service: service, Engine: w.Engine, Detail: "first and last do not name a range of the model layers"}
		case seen[w.Engine]:
			return &PlanError{Service: service, Engine: w.Engine, Detail: "listed more than once"}
		}
		seen[w.Engine] = true
	}
	return nil
}

// SetPlan replaces a service's plan. The error is a *PlanError; the previous plan
// then stays active.
func (p *Planner) SetPlan(service ids.Service, plan Plan) error {
	if err := plan.check(service); err != nil {
		return err
	}
	free := p.opts.MaxEngines - len(p.engines)
	for _, w := range plan.Engines {
		e := p.engines[w.Engine]
		if e == nil {
			free--
			continue
		}
		if e.service != service {
			return &PlanError{Service: service, Engine: w.Engine, Detail: "already in the plan of service " + string(e.service)}
		}
	}
	if free < 0 {
		return &PlanError{Service: service, Detail: "more engines than MaxEngines in all plans"}
	}
	p.plans[service] = plan
	p.assign(service, plan)
	return nil
}

// assign sets the assignments of a service's engines and removes the engines that
// the plan no longer lists.
func (p *Planner) assign(service ids.Service, plan Plan) {
	listed := make(map[ids.Upstream]bool, len(plan.Engines))
	for _, w := range plan.Engines {
		listed[w.Engine] = true
		e := p.engines[w.Engine]
		if e == nil {
			e = &engine{service: service}
			p.engines[w.Engine] = e
		}
		if e.wanted != w {
			e.wanted = w
			e.resetOrder()
		}
	}
	for id, e := range p.engines {
		if e.service == service && !listed[id] {
			delete(p.engines, id)
		}
	}
}

// DropPlan removes a service's plan.
func (p *Planner) DropPlan(service ids.Service) {
	delete(p.plans, service)
	p.assign(service, Plan{})
}

// resetOrder discards the state of the last order. The engine may still be loading
// because of it.
func (e *engine) resetOrder() {
	e.sentAt = time.Time{}
	e.orderEpoch = ""
	e.applied = false
}

// resetOrderAndLoad discards the state of the last order and marks the engine as
// not loading.
func (e *engine) resetOrderAndLoad() {
	e.resetOrder()
	e.loadStart = time.Time{}
}
