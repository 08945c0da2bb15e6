package claim

import (
	"slices"
	"time"
)

// message is a forward or its answer in transit.
type message struct {
	forward  Forward
	from, to *vm
	// until is the forward's deadline by the simulation's clock.
	until time.Time
	// answer is nil for a forward that has not reached its receiver.
	answer *ForwardAnswer
}

// sendForward adds a forward to the messages in transit.
func (s *sim) sendForward(v *vm, c Forward) {
	to := s.vms[slices.IndexFunc(s.vms, func(to *vm) bool { return to.name == c.VM })]
	s.messages = append(s.messages, message{forward: c, from: v, to: to, until: c.Until.Add(-v.skew)})
}

// serving maps the nonces of accepted forwards to their messages.
type serving map[string]message

// deliverMessage delivers the i-th message. With repeat, the message stays in
// transit and can be delivered again.
func (s *sim) deliverMessage(i int, repeat bool) {
	m := s.messages[i]
	if !repeat {
		s.dropMessage(i)
	}
	if m.answer != nil {
		s.execute(m.from, m.from.ForwardEnded(s.clock(m.from), m.forward.ID, *m.answer))
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
	s.execute(m.to, commands)
}

// dropMessage loses the i-th message.
func (s *sim) dropMessage(i int) { s.messages = slices.Delete(s.messages, i, i+1) }

// sendForwardAnswer adds the answer to a forward to the messages in transit.
func (s *sim) sendForwardAnswer(v *vm, c Served) {
	m, ok := s.serving[c.Op.Nonce]
	if !ok || m.to != v {
		s.t.Fatalf("%s answered forward %s, which it did not receive", v.name, c.Op.Nonce)
	}
	delete(s.serving, c.Op.Nonce)
	m.answer = &c.Answer
	s.messages = append(s.messages, m)
}
