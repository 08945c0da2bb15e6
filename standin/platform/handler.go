package platform

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/standin/internal/httpd"
)

// maxWait limits how long a watch waits, whatever its wait_ms asks for.
const maxWait = 60 * time.Second

// Paths of the control API.
const (
	ControlPath    = "/control"
	VMsControlPath = "/control/vms"
	StatsPath      = "/control/stats"
)

// handle serves one call: the control API always, the protocol subject to the current
// mode.
func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, ControlPath) {
		p.handleControl(ctx, path)
		return
	}
	control, changed := p.faults.next(string(ctx.Method()))
	switch control.Mode {
	case ModeDown:
		p.stats.dropped.Add(1)
		httpd.Drop(ctx)
		return
	case ModeHang:
		p.stats.dropped.Add(1)
		p.wait(changed, nil)
		httpd.Drop(ctx)
		return
	case ModeSlow:
		timer := time.NewTimer(time.Duration(control.DelayMs) * time.Millisecond)
		closed := p.wait(nil, timer.C)
		timer.Stop()
		if closed {
			httpd.Drop(ctx)
			return
		}
	}
	p.serve(ctx, path)
	if control.Mode == ModeLoseAnswers {
		p.stats.lost.Add(1)
		ctx.Response.Reset()
		httpd.Drop(ctx)
	}
}

// wait blocks until changed or timer is ready, where nil never is, or until the
// stand-in closes. closed reports the latter.
func (p *Platform) wait(changed <-chan struct{}, timer <-chan time.Time) (closed bool) {
	select {
	case <-changed:
		return false
	case <-timer:
		return false
	case <-p.server.Done():
		return true
	}
}

// serve executes and answers one call of the protocol of package platformapi.
func (p *Platform) serve(ctx *fasthttp.RequestCtx, path string) {
	key, isObject := strings.CutPrefix(path, platformapi.ObjectsPath)
	switch {
	case isObject && key != "":
		p.serveObject(ctx, key)
	case !ctx.IsGet():
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	case path == platformapi.ListPath:
		p.stats.reads.Add(1)
		httpd.WriteJSON(ctx, fasthttp.StatusOK, p.store.list(string(ctx.QueryArgs().Peek("prefix"))))
	case path == platformapi.WatchPath:
		p.serveWatch(ctx)
	case path == platformapi.VMsPath:
		p.stats.reads.Add(1)
		httpd.WriteJSON(ctx, fasthttp.StatusOK, p.vms.newerThan(int64(ctx.QueryArgs().GetUintOrZero("after"))))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// serveObject executes and answers a call on one object.
func (p *Platform) serveObject(ctx *fasthttp.RequestCtx, key string) {
	if ctx.IsGet() {
		p.stats.reads.Add(1)
		object, res := p.store.get(key)
		p.answer(ctx, object, res)
		return
	}
	ifMatch, ok := readIfMatch(ctx)
	if !ok {
		return
	}
	switch {
	case ctx.IsPut():
		p.servePut(ctx, key, ifMatch)
	case ctx.IsDelete():
		p.stats.writes.Add(1)
		object, res := p.store.remove(key, ifMatch)
		p.answer(ctx, object, res)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// servePut executes and answers a write of one object. It answers 413 if the value is
// above platformapi.MaxValueBytes.
func (p *Platform) servePut(ctx *fasthttp.RequestCtx, key string, ifMatch int64) {
	p.stats.writes.Add(1)
	body := ctx.PostBody()
	if len(body) > platformapi.MaxValueBytes {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	value := append([]byte{}, body...)
	object, res := p.store.put(key, value, ifMatch)
	p.answer(ctx, object, res)
}

// answer answers with an object and the status for a result, and counts conflicts.
func (p *Platform) answer(ctx *fasthttp.RequestCtx, object platformapi.Object, res result) {
	status := fasthttp.StatusOK
	switch res {
	case notFound:
		status = fasthttp.StatusNotFound
	case conflict:
		p.stats.conflicts.Add(1)
		status = fasthttp.StatusPreconditionFailed
	}
	httpd.WriteJSON(ctx, status, object)
}

// readIfMatch returns the version in the If-Match header, or noCondition without one.
// If the header is invalid, it answers 400 and returns false.
func readIfMatch(ctx *fasthttp.RequestCtx) (int64, bool) {
	header := ctx.Request.Header.Peek(platformapi.IfMatch)
	if len(header) == 0 {
		return noCondition, true
	}
	version, err := strconv.ParseInt(string(header), 10, 64)
	if err != nil || version < 0 {
		httpd.WriteBadRequest(ctx, platformapi.IfMatch+": not a version")
		return 0, false
	}
	return version, true
}

// serveWatch answers a watch: it waits for changes above a revision, or drops the
// connection in an outage.
func (p *Platform) serveWatch(ctx *fasthttp.RequestCtx) {
	p.stats.watches.Add(1)
	args := ctx.QueryArgs()
	prefix := string(args.Peek("prefix"))
	after, err := strconv.ParseInt(string(args.Peek("after")), 10, 64)
	if err != nil {
		httpd.WriteBadRequest(ctx, "after: not a revision")
		return
	}
	wait := time.Duration(max(args.GetUintOrZero("wait_ms"), 0)) * time.Millisecond
	reply, cut := p.watch(prefix, after, min(wait, maxWait))
	if cut {
		httpd.Drop(ctx)
		return
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, reply)
}

// watch returns the changes above revision after as soon as there are any, or none
// after wait. cut reports that ModeDown or the closing of the stand-in ended the
// watch.
func (p *Platform) watch(prefix string, after int64, wait time.Duration) (reply platformapi.ListReply, cut bool) {
	watcher := p.store.addWatcher(prefix)
	defer p.store.removeWatcher(watcher)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		modeChanged := p.faults.changeSignal()
		if p.faults.isDown(fasthttp.MethodGet) {
			return reply, true
		}
		reply = p.store.changes(prefix, after)
		if len(reply.Objects) > 0 {
			return reply, false
		}
		select {
		case <-watcher.changed:
		case <-modeChanged:
		case <-timer.C:
			return reply, false
		case <-p.server.Done():
			return reply, true
		}
	}
}
