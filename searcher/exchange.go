package searcher

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/readbudget"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/response"
)

// exchange is the execution of one call over one connection.
type exchange struct {
	h          *HTTP
	call       Call
	ctx        context.Context
	conn       *conn
	connSilent atomic.Bool // Set when a new connection got an answer while this one was silent.
}

// run executes the call. If the deadline passes or the caller cancels the call,
// run returns only after a cancellation was sent to the searcher, so that the
// searcher's slot is not counted as free too early.
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
	reply, failure, reuse := x.roundTrip()
	interrupted := !stop()
	x.h.pool.put(c, reuse && !interrupted)
	if failure == nil || !interrupted || failure.Fault() != FaultBroken {
		return reply, x.detectCrash(failure)
	}
	return Reply{}, x.cancelAtSearcher()
}

// roundTrip writes the request and reads the reply. It reports in reuse whether
// the connection can serve another request.
func (x *exchange) roundTrip() (reply Reply, failure *Failure, reuse bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	var err error
	defer func() { readbudget.Release(resp, err) }()
	x.buildRequest(req)
	if err = writeRequest(x.conn, req); err != nil {
		return Reply{}, x.brokenFailure(err), false
	}
	stop := x.watchSilence()
	_, err = x.conn.r.Peek(1)
	stop()
	if err != nil {
		return Reply{}, x.brokenFailure(err), false
	}
	if err = response.Read(resp, x.conn.r, x.h.maxReplyBytes); err != nil {
		if x.ctx.Err() != nil {
			return Reply{}, x.brokenFailure(err), false
		}
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			e := refusal.New(refusal.TooLarge, "reply is larger than %d bytes", x.h.maxReplyBytes)
			return Reply{}, NewFailure(FaultReply, e.WithRan(refusal.DidRun)), false
		}
		if reason := response.Reason(err); reason != "" {
			meter.Count("searcher.reply.malformed."+reason, 1)
		}
		return Reply{}, badReply("read reply: %v", err), false
	}
	if x.conn.r.Buffered() > 0 {
		return Reply{}, badReply("unexpected data after the reply"), false
	}
	reply, failure = x.classify(resp)
	named := resp.StatusCode() == fasthttp.StatusOK || len(resp.Header.Peek("X-Request-Id")) > 0
	return reply, failure, named && !resp.ConnectionClose() && (failure == nil || failure.Fault() != FaultReply)
}

func (x *exchange) buildRequest(req *fasthttp.Request) {
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

// classify returns what the reply states. A successful reply names its call in
// the body, all others in the header.
func (x *exchange) classify(resp *fasthttp.Response) (Reply, *Failure) {
	status := resp.StatusCode()
	if status == fasthttp.StatusOK {
		reply, failure := decodeReply(x.call, resp.Body())
		reply.spec.Boot = string(resp.Header.Peek("X-Boot"))
		return reply, failure
	}
	if f := x.checkID(string(resp.Header.Peek("X-Request-Id"))); f != nil {
		return Reply{}, f
	}
	switch {
	case status == fasthttp.StatusConflict:
		e := refusal.New(refusal.SnapshotGone, "searcher does not hold snapshot %d", x.call.Snapshot())
		return Reply{}, NewFailure(FaultSnapshot, e)
	case status == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek("X-Ran")) == "no":
		return Reply{}, refusalFailure(string(resp.Header.Peek("X-Reason")))
	}
	return Reply{}, NewFailure(FaultStatus, refusal.New(refusal.SearcherFailed, "searcher returned HTTP status %d", status))
}

// checkID checks the ID in the header of a reply without a result. Only the first
// reply on a connection may name no call; any other may be the late second copy
// of an earlier one, and a call that it answers may run.
func (x *exchange) checkID(id string) *Failure {
	switch {
	case id == "" && x.conn.used:
		return badReply("reply names no request")
	case id != "" && id != x.call.ID():
		return badReply("reply has request id %.64q, want %q", id, x.call.ID())
	}
	return nil
}

// refusalFailure returns the failure for a refusal by the searcher, which proves
// that the request did not run.
func refusalFailure(reason string) *Failure {
	switch reason {
	case "cold":
		return NewFailure(FaultCold, refusal.New(refusal.Cold, "searcher is in a cold start"))
	case "draining":
		return NewFailure(FaultDraining, refusal.New(refusal.NoSearcher, "searcher is draining"))
	}
	return NewFailure(FaultShed, refusal.New(refusal.Overloaded, "searcher sheds load: %.64s", reason))
}

func (x *exchange) brokenFailure(err error) *Failure {
	e := refusal.New(refusal.SearcherFailed, "connection to searcher broke: %v", err)
	if !x.conn.wrote.Load() {
		e = e.WithRan(refusal.NotRun)
	}
	return NewFailure(FaultBroken, e)
}

// detectCrash turns a broken connection into FaultCrashed if the searcher
// restarted or no longer answers. The request may have caused the crash and
// becomes suspect.
func (x *exchange) detectCrash(f *Failure) *Failure {
	if f == nil || f.Fault() != FaultBroken || f.Ran() == refusal.NotRun || !x.h.restarted() {
		return f
	}
	return NewFailure(FaultCrashed, f.Error)
}

// cancelAtSearcher sends a cancellation to the searcher, unless no byte of the
// request was written, and returns the failure of the call.
func (x *exchange) cancelAtSearcher() *Failure {
	if !x.conn.wrote.Load() {
		return endFailure(x.ctx, FaultNone, refusal.NotRun)
	}
	fault := FaultSilent
	if x.connSilent.Load() {
		fault = FaultSilentConnection
		meter.Count("searcher.connection.silent", 1)
		x.h.pool.invalidate()
	}
	ctx, stop := clock.WithDeadline(context.Background(), x.h.clock, x.h.clock.Boot()+controlTimeout)
	defer stop()
	x.h.cancelRequest(ctx, x.call.ID())
	return endFailure(x.ctx, fault, refusal.Unknown)
}

// watchSilence requests the health of the searcher over a new connection once
// call.Patience has passed without a byte of the reply. This distinguishes a
// silent connection from a silent searcher.
func (x *exchange) watchSilence() (stop func()) {
	if x.call.Patience() <= 0 {
		return func() {}
	}
	var answered atomic.Bool
	timer := x.h.clock.AfterFunc(x.call.Patience(), func() {
		ctx, cancel := clock.WithDeadline(x.ctx, x.h.clock, x.h.clock.Boot()+controlTimeout)
		defer cancel()
		if _, failure := x.h.fetchHealth(ctx, true); failure != nil || answered.Load() || x.ctx.Err() != nil {
			return
		}
		x.connSilent.Store(true)
		x.call.ReportSilent()
	})
	return func() {
		answered.Store(true)
		timer.Stop()
	}
}
