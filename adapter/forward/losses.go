package forward

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/lossnotice"
)

// lossSource is how a node learned that an engine is lost.
type lossSource string

// Sources of losses.
const (
	// lossByDial is a refused connection of a request, a probe or a redial.
	lossByDial lossSource = "dial"
	// lossByWatch is the refused redial of a watch connection.
	lossByWatch lossSource = "watch"
	// lossByNotice is a notice of another node that this one has verified.
	lossByNotice lossSource = "notice"
	// lossBySilence is a notice of another node that the engine does not answer, if it does not
	// answer this node either.
	lossBySilence lossSource = "silence"
)

// runningStream is a stream whose response is being read, as seen by other goroutines. The
// lock of the lossTable protects first, engines and lost.
type runningStream struct {
	conn *upconn.Conn
	// first is the engine of the first stage.
	first ids.Instance
	// priority is that of routing.Route.PriorityOf, 0 for the most urgent class.
	priority int
	// engines are the engines of the chain after the first.
	engines []ids.Instance
	// lost holds the engines that the stream has to leave.
	lost []*directory.Upstream
	// lastEvent is the time of the latest event, in Unix ns.
	lastEvent atomic.Int64
}

// lossTable holds the running streams by engine, and what is known of lost engines. Its
// methods are safe for concurrent use.
type lossTable struct {
	opts Options

	mu      sync.Mutex
	nodes   int
	tracker *lossnotice.Tracker
	// streams holds the streams by the engines of their later stages, and firstStages by
	// that of their first.
	streams, firstStages streamIndex
	// silentEngines are the engines that have not answered since a probe of theirs timed out, and
	// anySilent is true if there are any.
	silentEngines map[ids.Instance]struct{}
	anySilent     atomic.Bool
}

// streamIndex holds running streams by engine.
type streamIndex map[ids.Instance]map[*runningStream]struct{}

// add adds a stream to those of an engine.
func (x streamIndex) add(id ids.Instance, r *runningStream) {
	if x[id] == nil {
		x[id] = make(map[*runningStream]struct{})
	}
	x[id][r] = struct{}{}
}

// remove removes a stream from those of an engine.
func (x streamIndex) remove(id ids.Instance, r *runningStream) {
	delete(x[id], r)
	if len(x[id]) == 0 {
		delete(x, id)
	}
}

// newLossTable returns an empty lossTable.
func newLossTable(o Options) *lossTable {
	return &lossTable{opts: o, tracker: lossnotice.NewTracker(), streams: make(streamIndex), firstStages: make(streamIndex), silentEngines: make(map[ids.Instance]struct{})}
}

// setNodes sets the number of nodes of the fleet.
func (t *lossTable) setNodes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = n
}

// enabled reports whether streams of a service are moved and other nodes told when an engine
// is lost.
func (t *lossTable) enabled(service ids.Service) bool {
	t.mu.Lock()
	nodes := t.nodes
	t.mu.Unlock()
	return nodes >= lossnotice.MinNodes && slices.Contains(lossnotice.Services(t.opts.Table()), service)
}

// place records that a stream runs on a chain that was chosen at a time. It replaces the
// chain recorded before. Engines that were found lost since then, or while the stream was on
// the chain before, are to be left; it reports whether there are any.
func (t *lossTable) place(r *runningStream, c chain.Chain, chosenAt time.Time) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	marked := r.lost
	t.withdraw(r)
	r.first = c[0].Engine.ID
	t.firstStages.add(r.first, r)
	for _, stage := range c[1:] {
		id := stage.Engine.ID
		t.streams.add(id, r)
		r.engines = append(r.engines, id)
		if t.tracker.LostSince(id, chosenAt) || slices.Contains(instancesOf(marked), id) {
			r.lost = append(r.lost, stage.Engine)
		}
	}
	return len(r.lost) > 0
}

// remove drops a stream that has ended.
func (t *lossTable) remove(r *runningStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdraw(r)
}

// withdraw drops the chain of a stream. The caller must hold mu.
func (t *lossTable) withdraw(r *runningStream) {
	for _, id := range r.engines {
		t.streams.remove(id, r)
	}
	t.firstStages.remove(r.first, r)
	r.engines, r.lost = nil, nil
}

// takeLost returns the engines that a stream has to leave, and forgets them.
func (t *lossTable) takeLost(r *runningStream) []*directory.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := r.lost
	r.lost = nil
	return lost
}

// mark records the loss of an engine, and returns the streams that have to leave it, the most
// urgent first.
func (t *lossTable) mark(u *directory.Upstream) (lossnotice.Finding, []*runningStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	finding := t.tracker.Lost(t.opts.Now(), u.ID)
	if !finding.Move {
		return finding, nil
	}
	return finding, t.markStreams(u)
}

// markStreams marks the streams that pass through an engine in a later stage as to leave it,
// and returns them, the most urgent first. The caller must hold mu.
func (t *lossTable) markStreams(u *directory.Upstream) []*runningStream {
	var affected []*runningStream
	for r := range t.streams[u.ID] {
		r.lost = append(r.lost, u)
		affected = append(affected, r)
	}
	slices.SortFunc(affected, byPriority)
	return affected
}

// confirmedSilent moves the streams that pass through an engine in a later stage, after
// another node's notice of its silence and a dial of this node that was not answered either.
// Those whose first stage it is are alerted.
func (t *lossTable) confirmedSilent(u *directory.Upstream) {
	t.mu.Lock()
	if !t.tracker.SilenceConfirmed(t.opts.Now(), u.ID) {
		t.mu.Unlock()
		return
	}
	moved := t.markStreams(u)
	t.silentEngines[u.ID] = struct{}{}
	t.anySilent.Store(true)
	alerted := slices.SortedFunc(maps.Keys(t.firstStages[u.ID]), byPriority)
	t.mu.Unlock()
	for _, r := range moved {
		r.conn.Interrupt()
	}
	t.alert(alerted)
	t.recordFound(u, lossBySilence, len(moved))
}

// recordFound logs and counts that streams are moved from a lost engine.
func (t *lossTable) recordFound(u *directory.Upstream, source lossSource, streams int) {
	t.opts.Metrics.Add("loss.found."+string(source), 1)
	t.opts.Metrics.Add("loss.streams_woken", int64(streams))
	t.opts.Log.Info().Str("event", "engine_lost").Str("upstream", u.ID.String()).Str("address", u.Address).
		Str("source", string(source)).Int("streams", streams).Send()
}

// found records a refused connection to an engine, or a notice that was verified. It wakes
// the streams that pass through the engine, those of the most urgent classes first, and has
// the other nodes told if they do not know.
func (t *lossTable) found(u *directory.Upstream, source lossSource) {
	if !t.enabled(u.Service) {
		return
	}
	finding, affected := t.mark(u)
	for _, r := range affected {
		r.conn.Interrupt()
	}
	if finding.Announce && t.opts.View().Get(u.ID) != nil {
		t.opts.OnEngineLost(u.ID)
	}
	if finding.Move {
		t.recordFound(u, source, len(affected))
	}
}

// silent records that an engine has not answered a probe in time. It wakes the streams that
// pass through the engine, the most urgent first, so that those without events are diagnosed
// before their stall timeouts, and has the other nodes told.
func (t *lossTable) silent(u *directory.Upstream) {
	if !t.enabled(u.Service) {
		return
	}
	t.mu.Lock()
	announce := t.tracker.Silent(t.opts.Now(), u.ID)
	alerted := t.through(u.ID)
	t.silentEngines[u.ID] = struct{}{}
	t.anySilent.Store(true)
	t.mu.Unlock()
	t.alert(alerted)
	if announce && t.opts.View().Get(u.ID) != nil {
		t.opts.Log.Info().Str("event", "engine_silent").Str("upstream", u.ID.String()).Str("address", u.Address).
			Int("streams", len(alerted)).Send()
		t.opts.OnEngineSilent(u.ID)
	}
}

// alert wakes streams, so that they find out that an engine is silent.
func (t *lossTable) alert(streams []*runningStream) {
	for _, r := range streams {
		r.conn.Interrupt()
	}
	t.opts.Metrics.Add("loss.streams_alerted", int64(len(streams)))
}

// through returns the streams that pass through an engine in any stage, the most urgent first.
// The caller must hold mu.
func (t *lossTable) through(id ids.Instance) []*runningStream {
	streams := slices.AppendSeq(slices.Collect(maps.Keys(t.streams[id])), maps.Keys(t.firstStages[id]))
	slices.SortFunc(streams, byPriority)
	return streams
}

// byPriority orders streams by class, the most urgent first.
func byPriority(a, b *runningStream) int { return a.priority - b.priority }

// answeredAgain forgets that an engine was silent.
func (t *lossTable) answeredAgain(id ids.Instance) {
	if !t.anySilent.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.silentEngines, id)
	t.anySilent.Store(len(t.silentEngines) > 0)
}

// progressSince reports whether an event of a stream that passes through an engine has come
// later than a time. Then the engine is alive, whatever this node's probes say.
func (t *lossTable) progressSince(id ids.Instance, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.through(id) {
		if r.lastEvent.Load() > since.UnixNano() {
			return true
		}
	}
	return false
}

// leavesLostEngines reports whether the stream is moved when an engine of its chain is lost.
func (s *stream) leavesLostEngines() bool {
	x := s.x
	return s.model != nil && x.route.PauseObjective > 0 && x.server.losses.enabled(x.service)
}

// watchLosses makes the losses of engines wake the stream, whose chain was chosen at a time.
// The returned function ends that. It does nothing for streams whose gaps have no objective.
func (w *stallWatch) watchLosses(conn *upconn.Conn, chosenAt time.Time) (stop func()) {
	if !w.s.leavesLostEngines() {
		return func() {}
	}
	x := w.s.x
	w.running = &runningStream{conn: conn, priority: x.route.PriorityOf(x.account)}
	// The first read takes the engines that are to be left before it waits.
	_ = x.server.losses.place(w.running, w.chain, chosenAt)
	return func() { x.server.losses.remove(w.running) }
}

// waitOrRepair is wait, except that a stream whose chain has lost an engine is moved, or
// else sent again, at once. If neither is possible, the stall timeout decides what becomes
// of the stream.
func (w *stallWatch) waitOrRepair(waited time.Duration) (time.Duration, error) {
	if w.running == nil {
		return w.wait(waited)
	}
	losses := w.s.x.server.losses
	lost := losses.takeLost(w.running)
	before, began := w.chain, w.s.x.server.opts.Now()
	defer func() {
		if !slices.Equal(before, w.chain) && losses.place(w.running, w.chain, began) {
			// The read calls this function again instead of waiting.
			w.running.conn.Interrupt()
		}
	}()
	lost = slices.DeleteFunc(lost, func(u *directory.Upstream) bool { return !w.chain.Has(u.ID) })
	if len(lost) == 0 || w.mayCrash() {
		return w.wait(waited)
	}
	switch w.rerouteOrLeave(lost, true, true, triggerLossNotice) {
	case moved:
		w.s.x.count("stream.repaired_on_loss")
		return w.stallTimeout(), nil
	case left:
		w.s.x.count("stream.resent_on_loss")
		return 0, &upconn.ReadTimeoutError{Waited: waited}
	}
	return w.wait(waited)
}

// connectionLost redials an upstream that broke off a connection, unless a redial that
// answers the question is about to begin. If the process has crashed, its host refuses the
// connection.
func (s *Server) connectionLost(u *directory.Upstream) {
	s.losses.mu.Lock()
	wait, ok := s.losses.tracker.Redial(s.opts.Now(), u.ID)
	s.losses.mu.Unlock()
	if ok {
		go s.redial(u, wait)
	}
}

// redial connects to an upstream after a wait, and again while its connections break off
// meanwhile.
func (s *Server) redial(u *directory.Upstream, wait time.Duration) {
	for again := true; again; {
		time.Sleep(wait)
		s.opts.Metrics.Add("loss.redials", 1)
		refused := isRefused(s.confirmAlive(u))
		s.losses.mu.Lock()
		wait, again = s.losses.tracker.RedialEnded(s.opts.Now(), u.ID, refused)
		s.losses.mu.Unlock()
	}
}

// isRefused reports whether an error is that of a dial that the upstream's host refused.
func isRefused(err error) bool {
	var dialed *upconn.DialError
	return errors.As(err, &dialed) && dialed.Refused
}

// confirmAlive connects to an upstream that broke off a connection. It records and returns
// the error.
func (s *Server) confirmAlive(u *directory.Upstream) error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	conn, err := s.pool.Dial(ctx, target(u))
	if err != nil {
		s.picker.connectFailed(u, err)
		return err
	}
	s.losses.connected(u.ID)
	s.pool.Put(conn, 0)
	return nil
}

// confirmTimeout bounds the connection attempt of confirmAlive. A refusal arrives
// within one round trip.
const confirmTimeout = 300 * time.Millisecond

// EngineLossNoticed takes a notice of another node that an engine is lost. senderListed is
// true if it came from the address of a node of the fleet. If streams pass through the engine,
// they are moved once a dial of this node has confirmed the loss. It does not block.
func (s *Server) EngineLossNoticed(id ids.Instance, senderListed bool) {
	s.takeNotice(lossnotice.Notice{Engine: id, SenderListed: senderListed})
}

// EngineSilenceNoticed is EngineLossNoticed for an engine that does not answer.
func (s *Server) EngineSilenceNoticed(id ids.Instance, senderListed bool) {
	s.takeNotice(lossnotice.Notice{Engine: id, SenderListed: senderListed, Silent: true})
}

// takeNotice decides about a notice, and verifies it if it concerns streams of this node.
func (s *Server) takeNotice(n lossnotice.Notice) {
	u := s.opts.View().Get(n.Engine)
	n.EngineListed = u != nil
	t := s.losses
	t.mu.Lock()
	n.Streams = len(t.streams[n.Engine])
	if n.Silent {
		n.Streams += len(t.firstStages[n.Engine])
	}
	response := t.tracker.Receive(s.opts.Now(), n)
	t.mu.Unlock()
	s.opts.Metrics.Add("loss_notices."+string(response), 1)
	if response == lossnotice.Verify {
		s.logNotice("received", u)
		go s.verifyLoss(u, n.Silent)
	}
}

// HeardOfSilence is HeardOfLoss for notices of engines that do not answer.
func (s *Server) HeardOfSilence(id ids.Instance, since time.Time) bool {
	s.losses.mu.Lock()
	defer s.losses.mu.Unlock()
	return s.losses.tracker.HeardOfSilenceSince(id, since)
}

// HeardOfLoss reports whether a notice of another node about an engine has arrived at a time,
// by the clock of Options.Now, or later.
func (s *Server) HeardOfLoss(id ids.Instance, since time.Time) bool {
	s.losses.mu.Lock()
	defer s.losses.mu.Unlock()
	return s.losses.tracker.HeardSince(id, since)
}

// verifyLoss dials an engine that another node reports as lost, or as silent, and moves the
// streams that pass through it if that confirms it.
func (s *Server) verifyLoss(u *directory.Upstream, silent bool) {
	defer func() {
		s.losses.mu.Lock()
		defer s.losses.mu.Unlock()
		s.losses.tracker.VerifyEnded(u.ID)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), lossnotice.VerifyTimeout)
	defer cancel()
	began := s.opts.Now()
	conn, err := s.pool.Dial(ctx, target(u))
	result := lossnotice.Dial{Connected: err == nil, Refused: isRefused(err), Took: s.opts.Now().Sub(began)}
	var dialed *upconn.DialError
	result.NoPath = errors.As(err, &dialed) && dialed.NoPath
	var failed net.Error
	result.TimedOut = errors.As(err, &failed) && failed.Timeout()
	if conn != nil {
		s.losses.connected(u.ID)
		s.pool.Put(conn, 0)
	}
	if !result.Confirms() {
		s.opts.Metrics.Add("loss_notices.not_confirmed", 1)
		s.logNotice("not_confirmed", u)
		return
	}
	s.opts.Metrics.Add("loss_notices.verified", 1)
	s.logNotice("verified", u)
	s.picker.recordConnectFailure(u, err)
	if silent && !result.Refused {
		s.losses.confirmedSilent(u)
		return
	}
	s.losses.found(u, lossByNotice)
}

// logNotice logs what became of a notice. There are at most a few lines for each engine and
// second, because notices are verified no more often than that.
func (s *Server) logNotice(step string, u *directory.Upstream) {
	s.opts.Log.Info().Str("event", "loss_notice").Str("step", step).Str("upstream", u.ID.String()).Str("address", u.Address).Send()
}

// WatchedEngineRefused records that the redial of a watch connection was refused. The end of
// an engine that was leaving is no loss.
func (s *Server) WatchedEngineRefused(id ids.Instance, err error) {
	u := s.opts.View().Get(id)
	if u == nil || u.Leaving {
		return
	}
	// The connection was open until now, so the engine was not lost at an earlier notice.
	s.losses.connected(id)
	s.picker.recordConnectFailure(u, err)
	s.losses.found(u, lossByWatch)
}

// EngineConnected records that an engine has accepted a watch connection.
func (s *Server) EngineConnected(id ids.Instance) { s.losses.connected(id) }

// connected records that an engine has accepted a connection.
func (t *lossTable) connected(id ids.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Connected(id)
}

// forget drops what is known of an engine that has left the directory.
func (t *lossTable) forget(id ids.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Forget(id)
	delete(t.silentEngines, id)
	t.anySilent.Store(len(t.silentEngines) > 0)
}
