package order

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"mimosaarch.example/core/ids"
)

// PlanError refuses a plan.
type PlanError struct {
	Service ids.Service
	// Engine is the entry at fault; empty when it is the whole.
	Engine ids.Upstream
	Detail string
	// Cause is the decoder's error; may be nil.
	Cause error
}

// Error implements error.
func (e *PlanError) Error() string {
	if e.Engine == "" {
		return fmt.Sprintf("orders of %s: %s", e.Service, e.Detail)
	}
	return fmt.Sprintf("orders of %s: engine %s: %s", e.Service, e.Engine, e.Detail)
}

// Unwrap gives the cause.
func (e *PlanError) Unwrap() error { return e.Cause }

// ParsePlan reads a plan from its object's value. The error is a *PlanError.
func ParsePlan(service ids.Service, value []byte) (Plan, error) {
	var plan Plan
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return Plan{}, &PlanError{Service: service, Detail: err.Error(), Cause: err}
	}
	return plan, plan.check(service)
}

// check refuses a plan with impossible entries.
func (p Plan) check(service ids.Service) error {
	if p.Layers < 1 {
		return &PlanError{Service: service, Detail: "no layers"}
	}
	seen := make(map[ids.Upstream]bool)
	for _, w := range p.Engines {
		switch {
		case w.Engine == "" || w.Model == "":
			return &PlanError{Service: service, Engine: w.Engine, Detail: "engine or model missing"}
		case w.First < 0 || w.Last < w.First || w.Last >= p.Layers:
			return &PlanError{Service: service, Engine: w.Engine, Detail: "layers out of range"}
		case seen[w.Engine]:
			return &PlanError{Service: service, Engine: w.Engine, Detail: "named twice"}
		}
		seen[w.Engine] = true
	}
	return nil
}

// SetPlan puts a service's plan in force. The error is a *PlanError, and
// nothing was changed.
func (p *Planner) SetPlan(service ids.Service, plan Plan) error {
	if err := plan.check(service); err != nil {
		return err
	}
	room := p.opts.MaxEngines - len(p.engines)
	for _, w := range plan.Engines {
		e := p.engines[w.Engine]
		if e == nil {
			room--
			continue
		}
		if e.service != service {
			return &PlanError{Service: service, Engine: w.Engine, Detail: "named by service " + string(e.service)}
		}
	}
	if room < 0 {
		return &PlanError{Service: service, Detail: "too many engines"}
	}
	p.plans[service] = plan
	p.place(service, plan)
	return nil
}

// place sets what each engine of a service is to hold.
func (p *Planner) place(service ids.Service, plan Plan) {
	named := make(map[ids.Upstream]bool, len(plan.Engines))
	for _, w := range plan.Engines {
		named[w.Engine] = true
		e := p.engines[w.Engine]
		if e == nil {
			e = &engine{service: service}
			p.engines[w.Engine] = e
		}
		if e.wanted != w {
			e.wanted = w
			e.again()
		}
	}
	for id, e := range p.engines {
		if e.service == service && !named[id] {
			delete(p.engines, id)
		}
	}
}

// DropPlan forgets a service's plan.
func (p *Planner) DropPlan(service ids.Service) {
	delete(p.plans, service)
	p.place(service, Plan{})
}

// again voids what was ordered; the engine may still be loading it.
func (e *engine) again() {
	e.sent = time.Time{}
	e.epoch = ""
	e.applied = false
}

// forget voids what was ordered; the engine is not loading it.
func (e *engine) forget() {
	e.again()
	e.began = time.Time{}
}
