package peer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/member"
	"mimosaarch.example/decide/router"
)

// Service exchanges digests, configuration and lists of VMs with the peers of a
// node. Create it with New and start it with Run.
type Service struct {
	opts     Options
	listener net.Listener
	events   *ring.Ring[event]
	pulls    *ring.Ring[pull]

	// mu guards members. Only the loop changes members; any goroutine may read
	// it.
	mu      sync.Mutex
	members *member.Members

	// local is the digest of the last round, for replies.
	local atomic.Pointer[localDigest]
	// vms is the newest list of VMs.
	vms atomic.Pointer[platformapi.VMList]
	// bases are the digests of peers that their deltas refer to.
	bases *baseStore

	goroutines sync.WaitGroup
}

// New returns a Service that listens on opts.Listen. It sends nothing before
// Run. The error is a *ListenError.
func New(opts Options) (*Service, error) {
	opts = opts.withDefaults()
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, &ListenError{Address: opts.Listen, Cause: err}
	}
	if opts.Advertise == "" {
		opts.Advertise = listener.Addr().String()
	}
	s := &Service{
		opts:     opts,
		listener: listener,
		events:   ring.New[event]("peer events", opts.RingCapacity),
		pulls:    ring.New[pull]("peer pulls", pullRingCapacity),
		members:  member.New(memberOptions(opts)),
		bases:    newBaseStore(),
	}
	s.members.SetSeeds(opts.Seeds)
	s.vms.Store(&platformapi.VMList{})
	s.local.Store(&localDigest{})
	return s, nil
}

// memberOptions returns the options of the membership state, with this node's
// identity.
func memberOptions(opts Options) member.Options {
	m := opts.Members
	m.VM = opts.VM
	m.Zone = opts.Zone
	m.Boot = opts.Boot
	m.Address = opts.Advertise
	m.Interval = opts.Interval
	return m
}

// bootBytes is the number of random bytes in a boot ID.
const bootBytes = 12

// randomBoot returns a random boot ID in hexadecimal.
func randomBoot() string {
	var b [bootBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Run runs the Service until ctx ends; then it closes the listener and all
// connections. It must be called at most once.
func (s *Service) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.goroutines.Go(func() { s.accept(ctx) })
	s.goroutines.Go(func() { newPuller(s).run(ctx) })
	newLoop(s).run(ctx)
	stop()
	_ = s.listener.Close()
	s.goroutines.Wait()
}

// Close closes the listener of a Service that is never run.
func (s *Service) Close() { _ = s.listener.Close() }

// Addr returns the address listened on. It is safe for concurrent use.
func (s *Service) Addr() string { return s.listener.Addr().String() }

// SetVMs submits the platform's list of VMs. A list that is not newer than the
// current one is ignored. It returns a *ring.FullError if the event ring is
// full and the list was dropped. It is safe for concurrent use.
func (s *Service) SetVMs(list platformapi.VMList) error {
	return s.events.Offer(vmListReceived{list: list})
}

// Polls reports whether this node is the one that polls an upstream for its
// load report. It is safe for concurrent use.
func (s *Service) Polls(id ids.Upstream, zone ids.Zone) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Polls(id, zone)
}

// Peers returns the known peers. It is safe for concurrent use.
func (s *Service) Peers() []member.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Peers()
}

// Explain asks a VM for the decisions that it recorded for a request, over a
// separate connection. Times in the result are by this node's clock. Errors:
// *UnknownPeerError, *DialError, *CallError. It is safe for concurrent use.
func (s *Service) Explain(ctx context.Context, vm ids.VM, id ids.Request) ([]router.Decision, error) {
	s.mu.Lock()
	peer, known := s.members.Peer(vm)
	s.mu.Unlock()
	if !known || peer.Address == "" {
		return nil, &UnknownPeerError{VM: vm}
	}
	conn, err := s.dial(ctx, peer.Address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	var out peerapi.ExplainReply
	if err := s.call(ctx, conn, peerapi.MethodExplain, peerapi.Explain{ID: id}, &out); err != nil {
		return nil, err
	}
	return DecodeDecisions(out.Decisions, time.Now()), nil
}
