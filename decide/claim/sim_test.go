package claim

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/router"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fatal is what a failing test calls.
type fatal interface {
	Helper()
	Fatalf(format string, args ...any)
}

// memoryStore is the platform's store.
type memoryStore struct {
	revision int64
	objects  map[string]platformapi.Object
}

// write makes a conditional update; false if the condition fails.
func (s *memoryStore) write(w Write) (platformapi.Object, bool) {
	if current := s.objects[w.Key]; current.Version != w.IfMatch {
		return current, false
	}
	s.revision++
	object := platformapi.Object{Key: w.Key, Version: s.revision, Value: w.Value}
	s.objects[w.Key] = object
	return object, true
}

// fate is what the network does to a call.
type fate int

const (
	fateOK fate = iota
	// fateAnswerLost: a write is applied, but not answered.
	fateAnswerLost
	// fateRequestLost: a write is neither applied nor answered.
	fateRequestLost
	// fateLate: a write isn't answered, and may be applied later.
	fateLate
	// fateFailed: the call never leaves.
	fateFailed
)

// vm is one Group with the commands it has open. Its clock is its own.
type vm struct {
	*Group
	name ids.VM
	skew time.Duration
	open []Command
}

// sim is a fleet of VMs around one store. It knows who believes to hold what.
type sim struct {
	t   fatal
	now time.Time
	vms []*vm
	memoryStore
	// prefer gives the VM that one believes to be preferred; nil or its own
	// name when it commits by itself.
	prefer func(*vm) *vm
	// messages are forwards and their answers on their way.
	messages []message
	serving  serving
	// old are messages that arrive when all VMs believe to be done.
	old []message
	// late are lost writes that may yet arrive.
	late     []Write
	requests int
	// holders has, by key, the requests that were told they won and did not
	// release; settled ones stay.
	holders map[string][]claimed
	// priors are claims that others were told of; dead ones are proved not
	// to run, ever.
	priors  []router.ClaimRecord
	dead    map[ids.Request]bool
	due     map[ids.Request]string
	results map[ids.Request]router.ClaimResult
}

// claimed is a record with the VM that holds it.
type claimed struct {
	vm      *vm
	record  router.ClaimRecord
	settled bool
}

func newSim(t fatal, vms int, settings Settings) *sim {
	s := &sim{
		t:           t,
		now:         epoch,
		memoryStore: memoryStore{objects: make(map[string]platformapi.Object)},
		holders:     make(map[string][]claimed),
		serving:     make(serving),
		dead:        make(map[ids.Request]bool),
		due:         make(map[ids.Request]string),
		results:     make(map[ids.Request]router.ClaimResult),
	}
	for i := range vms {
		settings.Seed = uint64(i)
		s.vms = append(s.vms, &vm{Group: New(settings), name: ids.VM(fmt.Sprint("vm-", i)), skew: time.Duration(i) * 1000 * time.Hour})
	}
	return s
}

// clock is a VM's own time.
func (s *sim) clock(v *vm) time.Time { return s.now.Add(v.skew) }

// claim submits a claim of a key by a new request.
func (s *sim) claim(v *vm, key string, over *router.ClaimRecord) ids.Request {
	s.requests++
	request := ids.Request(fmt.Sprintf("r%d", s.requests))
	record := router.ClaimRecord{Account: "a", Key: key, Request: request, Attempt: 1, Fingerprint: "f"}
	op := Op{Kind: Claim, Record: record, Nonce: "n" + string(request), Over: over, Deadline: s.clock(v).Add(300 * time.Millisecond)}
	s.due[request] = "claim"
	s.submit(v, op)
	return request
}

// submit hands an operation to a VM.
func (s *sim) submit(v *vm, op Op) {
	commands, err := s.hand(v, op)
	if err != nil {
		s.t.Fatalf("submit: %v", err)
	}
	s.take(v, commands)
}

// hand lets a VM commit an operation or forward it.
func (s *sim) hand(v *vm, op Op) ([]Command, error) {
	if s.prefer != nil {
		if to := s.prefer(v); to != v {
			return v.Forward(s.clock(v), op, to.name)
		}
	}
	return v.Submit(s.clock(v), op)
}

// take carries out a VM's commands.
func (s *sim) take(v *vm, commands []Command) {
	for _, command := range slices.Clone(commands) {
		switch c := command.(type) {
		case Read, Write:
			v.open = append(v.open, command)
		case Ended:
			s.ended(v, c)
		case Released:
			s.answered(c.Op.Record.Request, "release")
		case Forward:
			s.send(v, c)
		case Served:
			s.served(v, c)
		case InvalidValue:
			s.t.Fatalf("problem: %v", c.Err)
		}
	}
}

// answered notes that an operation got its one result.
func (s *sim) answered(request ids.Request, what string) {
	if s.due[request] != what {
		s.t.Fatalf("%s of %s answered, but %q was due", what, request, s.due[request])
	}
	delete(s.due, request)
}

// ended checks the result of a claim.
func (s *sim) ended(v *vm, c Ended) {
	record := c.Op.Record
	s.answered(record.Request, "claim")
	s.results[record.Request] = c.Result
	switch c.Result {
	case router.ClaimWon:
		if s.dead[record.Request] {
			return
		}
		if others := s.holders[record.Key]; len(others) > 0 {
			s.t.Fatalf("%s won %s, which %s holds", record.Request, record.Key, others[0].record.Request)
		}
		s.holders[record.Key] = []claimed{{vm: v, record: record}}
	case router.ClaimTaken:
		if c.Prior.Request == record.Request || c.Prior.Key != record.Key {
			s.t.Fatalf("%s was told of %+v", record.Request, c.Prior)
		}
		s.priors = append(s.priors, c.Prior)
	}
}

// kill proves that a request never runs.
func (s *sim) kill(request ids.Request) {
	s.dead[request] = true
	for key, holders := range s.holders {
		s.holders[key] = slices.DeleteFunc(holders, func(h claimed) bool { return h.record.Request == request })
	}
}

// release gives up a held key.
func (s *sim) release(h claimed) {
	s.holders[h.record.Key] = nil
	s.due[h.record.Request] = "release"
	s.submit(h.vm, Op{Kind: Release, Nonce: "r" + string(h.record.Request), Record: h.record, Deadline: s.clock(h.vm).Add(100 * time.Millisecond)})
}

// settle marks a held key as done.
func (s *sim) settle(h claimed) {
	s.holders[h.record.Key][0].settled = true
	s.submit(h.vm, Op{Kind: Settle, Nonce: "s" + string(h.record.Request), Record: h.record})
}

// held lists the holders that have not settled.
func (s *sim) held() []claimed {
	var list []claimed
	for _, key := range simKeys {
		for _, h := range s.holders[key] {
			if !h.settled {
				list = append(list, h)
			}
		}
	}
	return list
}

var (
	simKeys = []string{"k1", "k2", "k3"}
	// allKeys are those that any test claims and looks for.
	allKeys = append([]string{"k4"}, simKeys...)
)

// deliver carries out a VM's i-th open call.
func (s *sim) deliver(v *vm, i int, f fate) {
	command := v.open[i]
	v.open = slices.Delete(v.open, i, i+1)
	var answer Answer
	switch c := command.(type) {
	case Read:
		answer = s.read(c, f)
	case Write:
		answer = s.writeWith(c, f)
	}
	s.take(v, v.Answer(s.clock(v), answer))
}

// read answers a Read.
func (s *sim) read(c Read, f fate) Answer {
	object, exists := s.objects[c.Key]
	switch {
	case f != fateOK:
		return Answer{Shard: c.Shard, Kind: AnswerFailed}
	case !exists:
		return Answer{Shard: c.Shard, Kind: AnswerNotFound}
	}
	return Answer{Shard: c.Shard, Kind: AnswerObject, Object: object}
}

// writeWith answers a Write.
func (s *sim) writeWith(c Write, f fate) Answer {
	switch f {
	case fateFailed:
		return Answer{Shard: c.Shard, Kind: AnswerFailed}
	case fateLate:
		s.late = append(s.late, c)
	case fateAnswerLost:
		s.write(c)
	case fateOK:
		if object, ok := s.write(c); ok {
			return Answer{Shard: c.Shard, Kind: AnswerWritten, Object: object}
		}
		return Answer{Shard: c.Shard, Kind: AnswerConflict, Object: s.objects[c.Key]}
	}
	return Answer{Shard: c.Shard, Kind: AnswerLost}
}

// tick lets time pass.
func (s *sim) tick(d time.Duration) {
	s.now = s.now.Add(d)
	for _, v := range s.vms {
		s.take(v, v.Tick(s.clock(v)))
	}
}

// settleDown mends the network and lets all VMs finish. What is late arrives
// when they believe to be done.
func (s *sim) settleDown() {
	s.finish()
	for _, w := range s.late {
		s.write(w)
	}
	s.late = nil
	s.messages = append(s.messages, s.old...)
	s.old = nil
	s.finish()
}

// finish lets all VMs finish.
func (s *sim) finish() {
	for range 1000 {
		s.calm()
		pending := 0
		for _, v := range s.vms {
			pending += v.Pending()
		}
		if pending == 0 {
			return
		}
		s.tick(50 * time.Millisecond)
	}
	s.t.Fatalf("operations are left without end")
}

// calm lets all calls and messages end that need no time to pass.
func (s *sim) calm() {
	for again := true; again; {
		again = len(s.messages) > 0
		for len(s.messages) > 0 {
			s.carry(0, false)
		}
		for _, v := range s.vms {
			again = again || len(v.open) > 0
			for len(v.open) > 0 {
				s.deliver(v, 0, fateOK)
			}
		}
	}
}

// entries decodes the store's claims by key.
func (s *sim) entries() map[string]router.ClaimRecord {
	found := make(map[string]router.ClaimRecord)
	for _, object := range s.objects {
		v, err := decode(object.Value, s.vms[0].settings.Shards, s.now, nil)
		if err != nil {
			s.t.Fatalf("decode: %v", err)
		}
		for _, e := range v.entries {
			for _, key := range allKeys {
				asked := router.ClaimRecord{Account: "a", Key: key, Fingerprint: "f"}
				if keyOf(asked) == e.key {
					found[key] = e.record(asked)
				}
			}
		}
	}
	return found
}

// checkEnd fails unless every operation has its result and the store holds
// just what the holders believe.
func (s *sim) checkEnd() {
	if len(s.due) > 0 {
		s.t.Fatalf("without result: %v", s.due)
	}
	entries := s.entries()
	for _, key := range simKeys {
		record, stands := entries[key]
		holders := s.holders[key]
		switch {
		case len(holders) > 0 && (!stands || record.Request != holders[0].record.Request):
			s.t.Fatalf("%s is held by %s, but the store has %q", key, holders[0].record.Request, record.Request)
		case len(holders) > 0 && holders[0].settled != (record.State == router.ClaimDone):
			s.t.Fatalf("%s: settled %v, but the store has %s", key, holders[0].settled, record.State)
		case len(holders) == 0 && stands && !s.dead[record.Request]:
			s.t.Fatalf("%s is free, but the store has %s (%v)", key, record.Request, s.results[record.Request])
		}
	}
}

// checkFree fails unless each key that nobody holds can be won.
func (s *sim) checkFree() {
	for _, key := range simKeys {
		record, stands := s.entries()[key]
		if stands && record.State == router.ClaimDone {
			continue
		}
		var over *router.ClaimRecord
		if stands {
			over = &record
		}
		// The pause after earlier failures has to be over.
		s.tick(s.vms[0].settings.BackoffMax)
		request := s.claim(s.vms[0], key, over)
		s.settleDown()
		if s.results[request] != router.ClaimWon {
			s.t.Fatalf("%s could not be won again", key)
		}
	}
}
