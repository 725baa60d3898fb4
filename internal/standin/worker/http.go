package worker

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/standin"
)

// handle serves the calls of the platform's endpoint protocol and the test commands /fault, /starts and /dump. Faults do
// not affect the test commands.
func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/fault":
		w.handleFault(ctx)
	case "/starts":
		minStarts, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("min")))
		standin.WriteJSON(ctx, http.StatusOK, w.Starts(minStarts))
	case "/dump":
		standin.WriteJSON(ctx, http.StatusOK, w.Dump())
	default:
		w.handleCall(ctx, path)
	}
}

func (w *Worker) handleFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if !standin.ReadJSON(ctx, &f) {
		return
	}
	if err := w.setFault(f, ctx.Conn()); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	standin.WriteJSON(ctx, http.StatusOK, f)
}

// handleCall serves the calls of the endpoint protocol under the faults in force.
func (w *Worker) handleCall(ctx *fasthttp.RequestCtx, path string) {
	if !w.awaitAccept(ctx) || !w.awaitResume() {
		standin.Drop(ctx)
		return
	}
	if !w.leaving().IsZero() {
		ctx.Response.Header.Set(httpx.HeaderLeaving, "1")
	}
	if c, ok := ctx.Conn().(*standin.Conn); ok && c.OverLimit {
		w.refuseConnection(ctx, path)
		return
	}
	id, isTask := strings.CutPrefix(path, "/tasks/")
	switch {
	case path == "/run":
		w.handleRun(ctx)
	case path == "/leases":
		w.handleTasks(ctx, w.machine.renew)
	case path == "/stop":
		w.handleTasks(ctx, w.machine.stop)
	case path == "/status":
		standin.WriteJSON(ctx, http.StatusOK, w.status(nil))
	case isTask:
		standin.WriteJSON(ctx, http.StatusOK, w.machine.fetch(id))
	default:
		ctx.Error("unknown path", http.StatusNotFound)
	}
	if !w.awaitResume() {
		standin.Drop(ctx)
	}
}

// handleTasks applies a change to the tasks in the request and responds with the worker's status, which contains the states
// of these tasks.
func (w *Worker) handleTasks(ctx *fasthttp.RequestCtx, apply func([]string) []platform.TaskStatus) {
	var list struct {
		Tasks []string `json:"tasks"`
	}
	if standin.ReadJSON(ctx, &list) {
		standin.WriteJSON(ctx, http.StatusOK, w.status(apply(list.Tasks)))
	}
}

// handleRun starts a task and responds when it has ended.
func (w *Worker) handleRun(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(httpx.HeaderTask))
	if id == "" {
		refuse(ctx, "header "+httpx.HeaderTask+" is missing")
		return
	}
	if reason := w.admit(ctx, id); reason != "" {
		refuse(ctx, reason)
		return
	}
	declared := declaredSize(&ctx.Request.Header)
	t := w.machine.start(id, parsePayload(ctx.PostBody(), declared, w.opts.RunTime), w.lease(ctx))
	select {
	case <-t.done:
		respond(ctx, t)
	case <-w.http.Closed():
		standin.Drop(ctx)
	}
}

// admit records the arrival of a task. It returns the reason for refusing the task, or "" if it is to be started.
func (w *Worker) admit(ctx *fasthttp.RequestCtx, id string) string {
	w.mu.Lock()
	since, accepts := w.leavingSince, w.fault.LeaveAccepts
	w.mu.Unlock()
	reason := ""
	if !since.IsZero() && !accepts {
		reason = "leaving"
	}
	w.recorder.add(w.opts.Clock.Now(), id, reason == "", since)
	return reason
}

// refuseConnection refuses a call on a connection above the connection limit.
func (w *Worker) refuseConnection(ctx *fasthttp.RequestCtx, path string) {
	if path == "/run" {
		id := string(ctx.Request.Header.Peek(httpx.HeaderTask))
		w.recorder.add(w.opts.Clock.Now(), id, false, w.leaving())
	}
	ctx.SetConnectionClose()
	refuse(ctx, "connection limit exceeded")
}

// refuse responds that the request was refused and no task was started.
func refuse(ctx *fasthttp.RequestCtx, reason string) {
	ctx.Response.Header.Set(httpx.HeaderNotStarted, "1")
	ctx.SetStatusCode(http.StatusServiceUnavailable)
	ctx.SetBodyString(reason)
}

func respond(ctx *fasthttp.RequestCtx, t *task) {
	if t.state != platform.TaskDone {
		ctx.SetStatusCode(http.StatusInternalServerError)
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBodyString(t.output)
}

// lease returns the lease in the request's header, or the default.
func (w *Worker) lease(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(httpx.HeaderLease)), 10, 64)
	if err != nil || ms <= 0 {
		return w.opts.Lease
	}
	return time.Duration(ms) * time.Millisecond
}

// declaredSize returns the size of a task that the headers declare. Missing or malformed values are replaced by one core,
// no memory and no accelerators, because the worker does not refuse tasks for their size.
func declaredSize(h *fasthttp.RequestHeader) platform.Size {
	s := platform.Size{Cores: 1}
	if v, err := strconv.ParseFloat(string(h.Peek(httpx.HeaderCores)), 64); err == nil && v > 0 {
		s.Cores = v
	}
	if v, err := strconv.ParseInt(string(h.Peek(httpx.HeaderMemory)), 10, 64); err == nil && v > 0 {
		s.MemoryMB = v
	}
	if v, err := strconv.Atoi(string(h.Peek(httpx.HeaderAccelerators))); err == nil && v > 0 {
		s.Accelerators = v
	}
	return s
}

// awaitAccept delays the first call of each connection while the fault accept_delay_ms is in force. Connections are served
// one after the other at this interval, as with a worker that accepts connections slowly. It returns false if the worker is
// closed meanwhile.
func (w *Worker) awaitAccept(ctx *fasthttp.RequestCtx) bool {
	if ctx.ConnRequestNum() > 1 {
		return true
	}
	now := w.opts.Clock.Now()
	w.mu.Lock()
	delay := time.Duration(w.fault.AcceptDelayMS) * time.Millisecond
	if delay == 0 {
		w.nextAccept = time.Time{}
		w.mu.Unlock()
		return true
	}
	if w.nextAccept.Before(now) {
		w.nextAccept = now
	}
	w.nextAccept = w.nextAccept.Add(delay)
	wait := w.nextAccept.Sub(now)
	w.mu.Unlock()
	select {
	case <-w.opts.Clock.After(wait):
		return true
	case <-w.http.Closed():
		return false
	}
}
