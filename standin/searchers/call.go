package searchers

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// Causes with which the context of a call is cancelled.
var (
	errCancelled = errors.New("cancelled")
	errExpired   = errors.New("deadline passed")
)

// call is one request of the target protocol.
type call struct {
	id            string
	shard         string
	route         string
	snapshot      uint64
	limit         int
	nonIdempotent bool
	body          []byte
	held          HeldSnapshot
	ctx           context.Context
	cancel        context.CancelCauseFunc
}

func newCall(r *http.Request, nonIdempotent bool, body []byte, clk clock.Clock) *call {
	ctx, cancel := context.WithCancelCause(r.Context())
	c := &call{
		id:            r.Header.Get("X-Request-Id"),
		shard:         r.Header.Get("X-Shard"),
		route:         r.Header.Get("X-Route"),
		limit:         defaultLimit,
		nonIdempotent: nonIdempotent,
		body:          body,
		ctx:           ctx,
		cancel:        cancel,
	}
	c.snapshot, _ = strconv.ParseUint(r.Header.Get("X-Snapshot"), 10, 64)
	if n, err := strconv.Atoi(r.Header.Get("X-Limit")); err == nil && n > 0 {
		c.limit = n
	}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		t := clk.AfterFunc(time.Duration(ms)*time.Millisecond, func() { cancel(errExpired) })
		context.AfterFunc(ctx, func() { t.Stop() })
	}
	return c
}

// requestID returns the ID of the request that the call is a send of. Sends after
// the first have a number at the end.
func (c *call) requestID() string {
	if i := strings.LastIndexByte(c.id, '~'); i >= 0 {
		if _, err := strconv.Atoi(c.id[i+1:]); err == nil {
			return c.id[:i]
		}
	}
	return c.id
}

// cause returns why the context of the call was cancelled.
func (c *call) cause() error { return context.Cause(c.ctx) }
