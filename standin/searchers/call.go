package searchers

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// Causes that end a call.
var (
	errCancelled = errors.New("cancelled")
	errExpired   = errors.New("deadline passed")
)

// call is one request of the target protocol.
type call struct {
	id       string
	shard    string
	route    string
	snapshot uint64
	limit    int
	run      bool
	body     []byte
	held     Held
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

func newCall(r *http.Request, run bool, body []byte, c clock.Clock) *call {
	ctx, cancel := context.WithCancelCause(r.Context())
	k := &call{
		id:     r.Header.Get("X-Request-Id"),
		shard:  r.Header.Get("X-Shard"),
		route:  r.Header.Get("X-Route"),
		limit:  defaultLimit,
		run:    run,
		body:   body,
		ctx:    ctx,
		cancel: cancel,
	}
	k.snapshot, _ = strconv.ParseUint(r.Header.Get("X-Snapshot"), 10, 64)
	if n, err := strconv.Atoi(r.Header.Get("X-Limit")); err == nil && n > 0 {
		k.limit = n
	}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		t := c.AfterFunc(time.Duration(ms)*time.Millisecond, func() { cancel(errExpired) })
		context.AfterFunc(ctx, func() { t.Stop() })
	}
	return k
}

// cause returns why the context of the call ended.
func (k *call) cause() error { return context.Cause(k.ctx) }
