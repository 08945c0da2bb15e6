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

// fatal is the part of testing.T and rapid.T that the simulation uses.
type fatal interface {
	Helper()
	Fatalf(format string, args ...any)
}

// memoryStore is an in-memory implementation of the platform's store.
type memoryStore struct {
	revision int64
	objects  map[string]platformapi.Object
}

// write makes a conditional update. It returns the current object and false if
// the version does not match.
func (s *memoryStore) write(w Write) (platformapi.Object, bool) {
	if current := s.objects[w.Key]; current.Version != w.IfMatch {
		return current, false
	}
	s.revision++
	object := platformapi.Object{Key: w.Key, Version: s.revision, Value: w.Value}
	s.objects[w.Key] = object
	return object, true
}

// networkFault is what happens to a call.
type networkFault int

const (
	faultNone networkFault = iota
	// faultAnswerLost: a write takes effect, but its answer is lost.
	faultAnswerLost
	// faultRequestLost: a write is lost before it takes effect.
	faultRequestLost
	// faultLate: the answer to a write is lost, and the write may take effect
	// later.
	faultLate
	// faultFailed: the call is not sent.
	faultFailed
)

// vm is a Group with its open calls and a clock that differs from the others by
// skew.
type vm struct {
	*Group
	name ids.VM
	skew time.Duration
	open []Command
}

// sim simulates several VMs with one store. It tracks which request believes
// that it holds which key.
type sim struct {
	t   fatal
	now time.Time
	vms []*vm
	memoryStore
	// prefer returns the VM that the given VM believes to be preferred. If
	// prefer is nil or returns the same VM, operations are committed locally.
	prefer func(*vm) *vm
	// messages are the forwards and answers in transit.
	messages []message
	serving  serving
	// delayedMessages are delivered once all VMs have finished.
	delayedMessages []message
	// delayedWrites are lost writes that may still take effect.
	delayedWrites []Write
	requests      int
	// holders maps each key to the requests that were notified that they won it and
	// have not released it. Requests that marked their claim as done stay.
	holders map[string][]claimed
	// priors are the claims reported to requests that lost. neverRun are the
	// requests that are known never to run. awaiting maps requests to the
	// operation whose result is due.
	priors   []router.ClaimRecord
	neverRun map[ids.Request]bool
	awaiting map[ids.Request]string
	results  map[ids.Request]router.ClaimResult
}

// claimed is a won claim and the VM that holds it.
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
		neverRun:    make(map[ids.Request]bool),
		awaiting:    make(map[ids.Request]string),
		results:     make(map[ids.Request]router.ClaimResult),
	}
	for i := range vms {
		settings.Seed = uint64(i)
		s.vms = append(s.vms, &vm{Group: New(settings), name: ids.VM(fmt.Sprint("vm-", i)), skew: time.Duration(i) * 1000 * time.Hour})
	}
	return s
}

// clock returns the current time by the VM's own clock.
func (s *sim) clock(v *vm) time.Time { return s.now.Add(v.skew) }

// claim submits a claim on a key by a new request.
func (s *sim) claim(v *vm, key string, over *router.ClaimRecord) ids.Request {
	s.requests++
	request := ids.Request(fmt.Sprintf("r%d", s.requests))
	record := router.ClaimRecord{Account: "a", Key: key, Request: request, Attempt: 1, Fingerprint: "f"}
	op := Op{Kind: Claim, Record: record, Nonce: "n" + string(request), Over: over, Deadline: s.clock(v).Add(300 * time.Millisecond)}
	s.awaiting[request] = "claim"
	s.submit(v, op)
	return request
}

// submit passes an operation to a VM and executes the resulting commands.
func (s *sim) submit(v *vm, op Op) {
	commands, err := s.submitOrForward(v, op)
	if err != nil {
		s.t.Fatalf("submit: %v", err)
	}
	s.execute(v, commands)
}

// submitOrForward lets the VM commit an operation or forward it to its preferred
// VM.
func (s *sim) submitOrForward(v *vm, op Op) ([]Command, error) {
	if s.prefer != nil {
		if to := s.prefer(v); to != v {
			return v.Forward(s.clock(v), op, to.name)
		}
	}
	return v.Submit(s.clock(v), op)
}

// execute executes the commands of a VM.
func (s *sim) execute(v *vm, commands []Command) {
	for _, command := range slices.Clone(commands) {
		switch c := command.(type) {
		case Read, Write:
			v.open = append(v.open, command)
		case Ended:
			s.ended(v, c)
		case Released:
			s.answered(c.Op.Record.Request, "release")
		case Forward:
			s.sendForward(v, c)
		case Served:
			s.sendForwardAnswer(v, c)
		case InvalidValue:
			s.t.Fatalf("invalid value: %v", c.Err)
		}
	}
}

// answered checks that the result of an operation was due and records that it
// arrived.
func (s *sim) answered(request ids.Request, what string) {
	if s.awaiting[request] != what {
		s.t.Fatalf("got the result of the %s of %s, but %q was due", what, request, s.awaiting[request])
	}
	delete(s.awaiting, request)
}

// ended checks the result of a claim and records its holder.
func (s *sim) ended(v *vm, c Ended) {
	record := c.Op.Record
	s.answered(record.Request, "claim")
	s.results[record.Request] = c.Result
	switch c.Result {
	case router.ClaimWon:
		if s.neverRun[record.Request] {
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

// proveNeverRun records that a request never runs.
func (s *sim) proveNeverRun(request ids.Request) {
	s.neverRun[request] = true
	for key, holders := range s.holders {
		s.holders[key] = slices.DeleteFunc(holders, func(h claimed) bool { return h.record.Request == request })
	}
}

// release releases a key.
func (s *sim) release(h claimed) {
	s.holders[h.record.Key] = nil
	s.awaiting[h.record.Request] = "release"
	s.submit(h.vm, Op{Kind: Release, Nonce: "r" + string(h.record.Request), Record: h.record, Deadline: s.clock(h.vm).Add(100 * time.Millisecond)})
}

// settle marks the claim of a key as done.
func (s *sim) settle(h claimed) {
	s.holders[h.record.Key][0].settled = true
	s.submit(h.vm, Op{Kind: Settle, Nonce: "s" + string(h.record.Request), Record: h.record})
}

// held lists the claims that are not marked as done.
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
	// allKeys are all keys that any test claims.
	allKeys = append([]string{"k4"}, simKeys...)
)

// deliverCall executes the i-th open call of a VM.
func (s *sim) deliverCall(v *vm, i int, f networkFault) {
	command := v.open[i]
	v.open = slices.Delete(v.open, i, i+1)
	var answer Answer
	switch c := command.(type) {
	case Read:
		answer = s.answerRead(c, f)
	case Write:
		answer = s.answerWrite(c, f)
	}
	s.execute(v, v.Answer(s.clock(v), answer))
}

// answerRead answers a Read.
func (s *sim) answerRead(c Read, f networkFault) Answer {
	object, exists := s.objects[c.Key]
	switch {
	case f != faultNone:
		return Answer{Shard: c.Shard, Kind: AnswerFailed}
	case !exists:
		return Answer{Shard: c.Shard, Kind: AnswerNotFound}
	}
	return Answer{Shard: c.Shard, Kind: AnswerObject, Object: object}
}

// answerWrite executes and answers a Write.
func (s *sim) answerWrite(c Write, f networkFault) Answer {
	switch f {
	case faultFailed:
		return Answer{Shard: c.Shard, Kind: AnswerFailed}
	case faultLate:
		s.delayedWrites = append(s.delayedWrites, c)
	case faultAnswerLost:
		s.write(c)
	case faultNone:
		if object, ok := s.write(c); ok {
			return Answer{Shard: c.Shard, Kind: AnswerWritten, Object: object}
		}
		return Answer{Shard: c.Shard, Kind: AnswerConflict, Object: s.objects[c.Key]}
	}
	return Answer{Shard: c.Shard, Kind: AnswerLost}
}

// tick advances the clock.
func (s *sim) tick(d time.Duration) {
	s.now = s.now.Add(d)
	for _, v := range s.vms {
		s.execute(v, v.Tick(s.clock(v)))
	}
}

// quiesce stops all network faults and runs until all VMs have finished. Delayed
// writes and messages arrive only after that, and then the VMs finish again.
func (s *sim) quiesce() {
	s.finish()
	for _, w := range s.delayedWrites {
		s.write(w)
	}
	s.delayedWrites = nil
	s.messages = append(s.messages, s.delayedMessages...)
	s.delayedMessages = nil
	s.finish()
}

// finish runs until all VMs have finished.
func (s *sim) finish() {
	for range 1000 {
		s.runPending()
		pending := 0
		for _, v := range s.vms {
			pending += v.Pending()
		}
		if pending == 0 {
			return
		}
		s.tick(50 * time.Millisecond)
	}
	s.t.Fatalf("operations did not finish")
}

// runPending executes all calls and messages that need no time to pass.
func (s *sim) runPending() {
	for again := true; again; {
		again = len(s.messages) > 0
		for len(s.messages) > 0 {
			s.deliverMessage(0, false)
		}
		for _, v := range s.vms {
			again = again || len(v.open) > 0
			for len(v.open) > 0 {
				s.deliverCall(v, 0, faultNone)
			}
		}
	}
}

// entries decodes the claims in the store, by key.
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

// checkEnd fails the test unless every operation has a result and the store
// agrees with the holders.
func (s *sim) checkEnd() {
	if len(s.awaiting) > 0 {
		s.t.Fatalf("operations without result: %v", s.awaiting)
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
		case len(holders) == 0 && stands && !s.neverRun[record.Request]:
			s.t.Fatalf("%s is free, but the store has %s (%v)", key, record.Request, s.results[record.Request])
		}
	}
}

// checkKeysCanBeWon fails the test unless every key that is not marked as done
// can be won.
func (s *sim) checkKeysCanBeWon() {
	for _, key := range simKeys {
		record, stands := s.entries()[key]
		if stands && record.State == router.ClaimDone {
			continue
		}
		var over *router.ClaimRecord
		if stands {
			over = &record
		}
		// The backoff after earlier failures must be over.
		s.tick(s.vms[0].settings.BackoffMax)
		request := s.claim(s.vms[0], key, over)
		s.quiesce()
		if s.results[request] != router.ClaimWon {
			s.t.Fatalf("key %s could not be won", key)
		}
	}
}
