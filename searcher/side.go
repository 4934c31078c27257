package searcher

import (
	"context"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// sideReplyLimit bounds answers to health requests and cancellations in bytes.
const sideReplyLimit = 64 << 10

// ask requests the health of the searcher.
func (h *HTTP) ask(ctx context.Context, fresh bool) (Health, *Failure) {
	body, failure := h.side(ctx, fresh, fasthttp.MethodGet, "/v1/health", "")
	if failure != nil {
		return Health{}, failure
	}
	return decodeHealth(body)
}

// cancel tells the searcher to stop working on a request.
func (h *HTTP) cancel(ctx context.Context, id string) {
	if _, failure := h.side(ctx, false, fasthttp.MethodPost, "/v1/cancel", id); failure != nil {
		meter.Count("searcher.cancel.failed", 1)
		return
	}
	meter.Count("searcher.cancel.sent", 1)
}

// side makes one small request besides searches and returns the reply's body.
func (h *HTTP) side(ctx context.Context, fresh bool, method, path, id string) ([]byte, *Failure) {
	c, err := h.pool.get(ctx, fresh)
	if err != nil {
		return nil, connectFailure(ctx, err)
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	sound := false
	defer func() { h.pool.put(c, stop() && sound) }()

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(h.address)
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	if err = writeRequest(c, req); err == nil {
		err = resp.ReadLimitBody(c.r, sideReplyLimit)
	}
	if err != nil {
		return nil, NewFailure(FaultBroken, refusal.New(refusal.SearcherFailed, "%s %s: %v", method, path, err))
	}
	sound = !resp.ConnectionClose()
	if resp.StatusCode()/100 != 2 {
		return nil, NewFailure(FaultStatus, refusal.New(refusal.SearcherFailed, "%s answered %d", path, resp.StatusCode()))
	}
	return append([]byte(nil), resp.Body()...), nil
}

func writeRequest(c *conn, req *fasthttp.Request) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// connectFailure is the end of a call for which no connection was had, so that
// it cannot have run.
func connectFailure(ctx context.Context, err error) *Failure {
	if ctx.Err() != nil {
		return endFailure(ctx, FaultNone, refusal.NotRun)
	}
	fault := FaultConnect
	if errors.Is(err, errPoolClosed) {
		fault = FaultNone
	}
	e := refusal.New(refusal.SearcherFailed, "%v", fmt.Errorf("connect: %w", err))
	return NewFailure(fault, e.WithRan(refusal.NotRun))
}

// endFailure is the end of a call whose context ended.
func endFailure(ctx context.Context, fault Fault, ran refusal.Ran) *Failure {
	kind := refusal.Cancelled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		kind = refusal.Deadline
	}
	return NewFailure(fault, refusal.New(kind, "call ended before the reply").WithRan(ran))
}
