package searcher

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// exchange is one call on one connection.
type exchange struct {
	h      *HTTP
	call   Call
	ctx    context.Context
	conn   *conn
	silent atomic.Bool // The patience test found that only this connection is silent.
}

// run performs the call. A caller that gives up is answered only after the
// searcher was told, so that its slot is not counted as free too early.
func (x *exchange) run() (Reply, *Failure) {
	c, err := x.h.pool.get(x.ctx, false)
	if err != nil {
		return Reply{}, connectFailure(x.ctx, err)
	}
	x.conn = c
	if r := x.call.Permit(); r != nil {
		x.h.pool.put(c, true)
		return Reply{}, NewFailure(FaultNone, r.WithRan(refusal.NotRun))
	}
	stop := context.AfterFunc(x.ctx, c.interrupt)
	reply, failure, reuse := x.exchange()
	ended := !stop()
	x.h.pool.put(c, reuse && !ended)
	if failure == nil || !ended || failure.Fault() != FaultBroken {
		return reply, x.checkCrash(failure)
	}
	return Reply{}, x.abandon()
}

// exchange writes the request, reads the reply and reports whether the
// connection can serve another request.
func (x *exchange) exchange() (reply Reply, failure *Failure, reuse bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	x.fill(req)
	if err := writeRequest(x.conn, req); err != nil {
		return Reply{}, x.broken(err), false
	}
	stop := x.watch()
	_, err := x.conn.r.Peek(1)
	stop()
	if err != nil {
		return Reply{}, x.broken(err), false
	}
	if err := resp.ReadLimitBody(x.conn.r, x.h.replyLimit); err != nil {
		if x.ctx.Err() != nil {
			return Reply{}, x.broken(err), false
		}
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			e := refusal.New(refusal.TooLarge, "reply is larger than %d bytes", x.h.replyLimit)
			return Reply{}, NewFailure(FaultReply, e.WithRan(refusal.DidRun)), false
		}
		return Reply{}, badReply("reply cannot be read: %v", err), false
	}
	if x.conn.r.Buffered() > 0 {
		return Reply{}, badReply("bytes follow the reply"), false
	}
	reply, failure = x.classify(resp)
	return reply, failure, !resp.ConnectionClose() && (failure == nil || failure.Fault() != FaultReply)
}

func (x *exchange) fill(req *fasthttp.Request) {
	path := "/v1/search"
	if x.call.Run() {
		path = "/v1/run"
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(path)
	req.Header.SetHost(x.h.address)
	req.Header.Set("X-Request-Id", x.call.ID())
	req.Header.Set("X-Shard", x.call.Shard())
	req.Header.Set("X-Route", x.call.Route())
	if x.call.Snapshot() != 0 {
		req.Header.Set("X-Snapshot", strconv.FormatUint(x.call.Snapshot(), 10))
	}
	if x.call.Limit() > 0 {
		req.Header.Set("X-Limit", strconv.Itoa(x.call.Limit()))
	}
	remaining := (x.call.Deadline() - x.h.clock.Boot()).Milliseconds()
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(remaining, 1), 10))
	req.SetBodyRaw(x.call.Body())
}

func (x *exchange) classify(resp *fasthttp.Response) (Reply, *Failure) {
	status := resp.StatusCode()
	switch {
	case status == fasthttp.StatusOK:
		return decodeReply(x.call, resp.Body())
	case status == fasthttp.StatusConflict:
		e := refusal.New(refusal.SnapshotGone, "searcher does not hold snapshot %d", x.call.Snapshot())
		return Reply{}, NewFailure(FaultSnapshot, e)
	case status == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek("X-Ran")) == "no":
		return Reply{}, refused(string(resp.Header.Peek("X-Reason")))
	}
	return Reply{}, NewFailure(FaultStatus, refusal.New(refusal.SearcherFailed, "searcher answered %d", status))
}

// refused is a refusal by the searcher that proves that the request did not run.
func refused(reason string) *Failure {
	switch reason {
	case "cold":
		return NewFailure(FaultCold, refusal.New(refusal.Cold, "searcher is in a cold start"))
	case "draining":
		return NewFailure(FaultDraining, refusal.New(refusal.NoSearcher, "searcher is draining"))
	}
	return NewFailure(FaultShed, refusal.New(refusal.Overloaded, "searcher sheds load: %.64s", reason))
}

func (x *exchange) broken(err error) *Failure {
	e := refusal.New(refusal.SearcherFailed, "connection broke: %v", err)
	if !x.conn.wrote.Load() {
		e = e.WithRan(refusal.NotRun)
	}
	return NewFailure(FaultBroken, e)
}

// checkCrash finds out whether a connection broke because the searcher died
// with the request, which makes the request suspect.
func (x *exchange) checkCrash(f *Failure) *Failure {
	if f == nil || f.Fault() != FaultBroken || f.Ran() == refusal.NotRun || !x.h.restarted() {
		return f
	}
	return NewFailure(FaultCrashed, f.Error)
}

// abandon tells the searcher that nobody waits for the reply any more.
func (x *exchange) abandon() *Failure {
	if !x.conn.wrote.Load() {
		return endFailure(x.ctx, FaultNone, refusal.NotRun)
	}
	fault := FaultSilent
	if x.silent.Load() {
		fault = FaultConnection
		meter.Count("searcher.connection.silent", 1)
		x.h.pool.expire()
	}
	ctx, stop := clock.WithDeadline(context.Background(), x.h.clock, x.h.clock.Boot()+sideTimeout)
	defer stop()
	x.h.cancel(ctx, x.call.ID())
	return endFailure(x.ctx, fault, refusal.Unknown)
}

// watch tests the searcher over a new connection once the patience of the call
// has passed without a byte of reply.
func (x *exchange) watch() (stop func()) {
	if x.call.Patience() <= 0 {
		return func() {}
	}
	var answered atomic.Bool
	timer := x.h.clock.AfterFunc(x.call.Patience(), func() {
		ctx, cancel := clock.WithDeadline(x.ctx, x.h.clock, x.h.clock.Boot()+sideTimeout)
		defer cancel()
		if _, failure := x.h.ask(ctx, true); failure != nil || answered.Load() || x.ctx.Err() != nil {
			return
		}
		x.silent.Store(true)
		x.call.ReportSilent()
	})
	return func() {
		answered.Store(true)
		timer.Stop()
	}
}
