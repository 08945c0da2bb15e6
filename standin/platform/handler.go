package platform

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/standin/internal/httpd"
)

// maxWait bounds a watch.
const maxWait = 60 * time.Second

// Paths of the control calls.
const (
	ControlPath    = "/control"
	VMsControlPath = "/control/vms"
	StatsPath      = "/control/stats"
)

// handle answers one call.
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
		ended := p.wait(nil, timer.C)
		timer.Stop()
		if ended {
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

// wait returns when either channel (nil: never) is ready or the stand-in
// closes; ended tells that it closed.
func (p *Platform) wait(changed <-chan struct{}, timer <-chan time.Time) (ended bool) {
	select {
	case <-changed:
		return false
	case <-timer:
		return false
	case <-p.server.Done():
		return true
	}
}

// serve carries out one call of the protocol.
func (p *Platform) serve(ctx *fasthttp.RequestCtx, path string) {
	key, isObject := strings.CutPrefix(path, platformapi.ObjectsPath)
	switch {
	case isObject && key != "":
		p.serveObject(ctx, key)
	case !ctx.IsGet():
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	case path == platformapi.ListPath:
		p.stats.reads.Add(1)
		httpd.JSON(ctx, fasthttp.StatusOK, p.store.list(string(ctx.QueryArgs().Peek("prefix"))))
	case path == platformapi.WatchPath:
		p.serveWatch(ctx)
	case path == platformapi.VMsPath:
		p.stats.reads.Add(1)
		httpd.JSON(ctx, fasthttp.StatusOK, p.vms.after(int64(ctx.QueryArgs().GetUintOrZero("after"))))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// serveObject carries out a call on one object.
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

// servePut writes one object.
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

// answer gives an object with the status of a result.
func (p *Platform) answer(ctx *fasthttp.RequestCtx, object platformapi.Object, res result) {
	status := fasthttp.StatusOK
	switch res {
	case notFound:
		status = fasthttp.StatusNotFound
	case conflict:
		p.stats.conflicts.Add(1)
		status = fasthttp.StatusPreconditionFailed
	}
	httpd.JSON(ctx, status, object)
}

// readIfMatch gives the call's condition; when it can't be read it answers 400.
func readIfMatch(ctx *fasthttp.RequestCtx) (int64, bool) {
	header := ctx.Request.Header.Peek(platformapi.IfMatch)
	if len(header) == 0 {
		return noCondition, true
	}
	version, err := strconv.ParseInt(string(header), 10, 64)
	if err != nil || version < 0 {
		httpd.Bad(ctx, platformapi.IfMatch+": not a version")
		return 0, false
	}
	return version, true
}

// serveWatch waits for changes above a revision.
func (p *Platform) serveWatch(ctx *fasthttp.RequestCtx) {
	p.stats.watches.Add(1)
	args := ctx.QueryArgs()
	prefix := string(args.Peek("prefix"))
	after, err := strconv.ParseInt(string(args.Peek("after")), 10, 64)
	if err != nil {
		httpd.Bad(ctx, "after: not a revision")
		return
	}
	wait := time.Duration(max(args.GetUintOrZero("wait_ms"), 0)) * time.Millisecond
	reply, cut := p.watch(prefix, after, min(wait, maxWait))
	if cut {
		httpd.Drop(ctx)
		return
	}
	httpd.JSON(ctx, fasthttp.StatusOK, reply)
}

// watch gives the changes above a revision, at the latest after wait. cut
// tells that an outage ended it.
func (p *Platform) watch(prefix string, after int64, wait time.Duration) (reply platformapi.ListReply, cut bool) {
	waiter := p.store.addWaiter(prefix)
	defer p.store.dropWaiter(waiter)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		modeChanged := p.faults.changes()
		if p.faults.down(fasthttp.MethodGet) {
			return reply, true
		}
		reply = p.store.changes(prefix, after)
		if len(reply.Objects) > 0 {
			return reply, false
		}
		select {
		case <-waiter.changed:
		case <-modeChanged:
		case <-timer.C:
			return reply, false
		case <-p.server.Done():
			return reply, true
		}
	}
}
