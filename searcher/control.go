package searcher

import (
	"context"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/response"
)

// maxControlReplyBytes limits replies to health requests and cancellations.
const maxControlReplyBytes = 64 << 10

// fetchHealth requests the health of the searcher, over a new connection if
// fresh is set.
func (h *HTTP) fetchHealth(ctx context.Context, fresh bool) (Health, *Failure) {
	body, failure := h.controlRequest(ctx, fresh, fasthttp.MethodGet, "/v1/health", "")
	if failure != nil {
		return Health{}, failure
	}
	return decodeHealth(body)
}

// cancelRequest asks the searcher to stop the request with the given id.
func (h *HTTP) cancelRequest(ctx context.Context, id string) {
	if _, failure := h.controlRequest(ctx, false, fasthttp.MethodPost, "/v1/cancel", id); failure != nil {
		meter.Count("searcher.cancel.failed", 1)
		return
	}
	meter.Count("searcher.cancel.sent", 1)
}

// controlRequest sends a health request or a cancellation and returns the body
// of the reply. An empty id omits the X-Request-Id header.
func (h *HTTP) controlRequest(ctx context.Context, fresh bool, method, path, id string) ([]byte, *Failure) {
	c, err := h.pool.get(ctx, fresh)
	if err != nil {
		return nil, connectFailure(ctx, err)
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	reusable := false
	defer func() { h.pool.put(c, stop() && reusable) }()

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
		err = response.Read(resp, c.r, maxControlReplyBytes)
	}
	if err != nil {
		return nil, NewFailure(FaultBroken, refusal.New(refusal.SearcherFailed, "%s %s: %v", method, path, err))
	}
	reusable = !resp.ConnectionClose()
	if resp.StatusCode()/100 != 2 {
		return nil, NewFailure(FaultStatus, refusal.New(refusal.SearcherFailed, "%s: searcher returned HTTP status %d", path, resp.StatusCode()))
	}
	return append([]byte(nil), resp.Body()...), nil
}

func writeRequest(c *conn, req *fasthttp.Request) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// connectFailure returns the failure of a call that got no connection and
// therefore cannot have run.
func connectFailure(ctx context.Context, err error) *Failure {
	if ctx.Err() != nil {
		return endFailure(ctx, FaultNone, refusal.NotRun)
	}
	fault := FaultConnect
	if errors.Is(err, errPoolClosed) {
		fault = FaultNone
	}
	e := refusal.New(refusal.SearcherFailed, "%v", fmt.Errorf("connect to searcher: %w", err))
	return NewFailure(fault, e.WithRan(refusal.NotRun))
}

// endFailure returns the failure of a call whose context ended by its deadline
// or a cancellation.
func endFailure(ctx context.Context, fault Fault, ran refusal.Ran) *Failure {
	kind := refusal.Cancelled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		kind = refusal.Deadline
	}
	return NewFailure(fault, refusal.New(kind, "call ended before the reply arrived").WithRan(ran))
}
