package claim

import (
	"slices"
	"time"
)

// message is a forward on its way to a VM, or the answer on its way back.
type message struct {
	forward  Forward
	from, to *vm
	// until is the end of the VM's time, as of the simulation's clock.
	until time.Time
	// answer is nil on the way there.
	answer *ForwardAnswer
}

// send puts a forward on its way.
func (s *sim) send(v *vm, c Forward) {
	to := s.vms[slices.IndexFunc(s.vms, func(to *vm) bool { return to.name == c.VM })]
	s.messages = append(s.messages, message{forward: c, from: v, to: to, until: c.Until.Add(-v.skew)})
}

// serving are the forwards taken by VMs, by nonce.
type serving map[string]message

// carry lets the i-th message arrive. One that is repeated stays on its way.
func (s *sim) carry(i int, repeat bool) {
	m := s.messages[i]
	if !repeat {
		s.drop(i)
	}
	if m.answer != nil {
		s.take(m.from, m.from.ForwardEnded(s.clock(m.from), m.forward.ID, *m.answer))
		return
	}
	op := m.forward.Op
	op.Deadline = m.until.Add(m.to.skew)
	if _, taken := s.serving[op.Nonce]; !taken {
		s.serving[op.Nonce] = m
	}
	commands, err := m.to.Serve(s.clock(m.to), op)
	if _, full := err.(*QueueFullError); full {
		m.answer = &ForwardAnswer{Kind: ForwardRefused}
		s.messages = append(s.messages, m)
	}
	s.take(m.to, commands)
}

// drop loses the i-th message.
func (s *sim) drop(i int) { s.messages = slices.Delete(s.messages, i, i+1) }

// served puts the answer to a forward on its way.
func (s *sim) served(v *vm, c Served) {
	m, ok := s.serving[c.Op.Nonce]
	if !ok || m.to != v {
		s.t.Fatalf("%s answered %s, which it was not asked", v.name, c.Op.Nonce)
	}
	delete(s.serving, c.Op.Nonce)
	m.answer = &c.Answer
	s.messages = append(s.messages, m)
}
