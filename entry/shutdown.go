package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	stopped     atomic.Bool
	answerBy    atomic.Int64 // Boot time in nanoseconds by which requests must be answered; 0 without a bound.
	requests    context.Context
	endRequests context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.requests, s.endRequests = context.WithCancel(context.Background())
	return s
}

// fits reports whether a request is answered in time whose deadline is the given
// boot time.
func (s *shutdown) fits(deadline time.Duration) bool {
	answerBy := time.Duration(s.answerBy.Load())
	return answerBy == 0 || deadline <= answerBy
}

// AcceptUntil makes the entry refuse requests whose deadline is later than the
// boot time t. They have not run.
func (e *Entry) AcceptUntil(t time.Duration) { e.shutdown.answerBy.Store(int64(t)) }

// StopAccepting makes the entry refuse new requests. Requests in flight continue.
func (e *Entry) StopAccepting() { e.shutdown.stopped.Store(true) }

// EndRequests makes the entry answer the requests in flight with what it has.
// A non-idempotent request that is still running has an unknown outcome.
func (e *Entry) EndRequests() { e.shutdown.endRequests() }
