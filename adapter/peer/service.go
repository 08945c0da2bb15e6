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

// Service is a node's part among its peers. Make it with New, and let Run run.
type Service struct {
	opts     Options
	listener net.Listener
	events   *ring.Ring[event]
	pulls    *ring.Ring[pull]

	// mu guards members: the loop writes, any goroutine may ask.
	mu      sync.Mutex
	members *member.Members

	// own is what replies tell of this node.
	own atomic.Pointer[ownState]
	// vms is the newest list of VMs.
	vms atomic.Pointer[platformapi.VMList]
	// bases are what digests of peers refer to.
	bases *bases

	duties sync.WaitGroup
}

// New opens the port; nothing is sent before Run. The error is a
// *ListenError.
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
		pulls:    ring.New[pull]("peer pulls", pullCapacity),
		members:  member.New(memberOptions(opts)),
		bases:    newBases(),
	}
	s.members.SetSeeds(opts.Seeds)
	s.vms.Store(&platformapi.VMList{})
	s.own.Store(&ownState{})
	return s, nil
}

// memberOptions names this node to its view of the others.
func memberOptions(opts Options) member.Options {
	m := opts.Members
	m.VM = opts.VM
	m.Zone = opts.Zone
	m.Boot = opts.Boot
	m.Address = opts.Advertise
	m.Interval = opts.Interval
	return m
}

// bootBytes are the random bytes of a boot id.
const bootBytes = 12

// randomBoot draws a boot id.
func randomBoot() string {
	var b [bootBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Run works until ctx ends; then it closes the port and all links. It is
// called once.
func (s *Service) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.duties.Go(func() { s.accept(ctx) })
	s.duties.Go(func() { newPuller(s).run(ctx) })
	newLoop(s).run(ctx)
	stop()
	_ = s.listener.Close()
	s.duties.Wait()
}

// Close closes the port of a Service that is not run.
func (s *Service) Close() { _ = s.listener.Close() }

// Addr is the address listened on. Any goroutine may call it.
func (s *Service) Addr() string { return s.listener.Addr().String() }

// SetVMs takes the platform's list; an older one is ignored. Any goroutine may
// call it. A *ring.FullError means that it was not taken.
func (s *Service) SetVMs(list platformapi.VMList) error {
	return s.events.Offer(vmsSeen{list: list})
}

// Polls reports whether this node asks an upstream for its load. Any goroutine
// may call it.
func (s *Service) Polls(id ids.Upstream, zone ids.Zone) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Polls(id, zone)
}

// Peers lists the peers. Any goroutine may call it.
func (s *Service) Peers() []member.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Peers()
}

// Explain asks a VM what it recorded of a request, over a connection of its
// own. Any goroutine may call it. Errors: *UnknownPeerError, *DialError,
// *CallError. Times of the steps are by this node's clock.
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
