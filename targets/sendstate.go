package targets

import (
	"sync"
	"sync/atomic"
)

// sendState states how far the bytes of a call's request have got. A call of
// which any byte was written may have run.
type sendState struct {
	v  atomic.Int32
	mu sync.Mutex // Held during the write.
}

const (
	// writePending means that the write has not begun.
	writePending int32 = iota
	// writeBegun means that the write is under way.
	writeBegun
	// writeDone means that at least one byte was written.
	writeDone
	// writeFailed means that the write failed without a byte written.
	writeFailed
	// writeCancelled means that the request must not be written any more.
	writeCancelled
)

// run calls write unless it was cancelled, and records how it ended. Write
// returns the number of bytes written. The error is errCancelled or that of write.
func (s *sendState) run(write func() (int, error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.v.CompareAndSwap(writePending, writeBegun) {
		return errCancelled
	}
	n, err := write()
	if err != nil && n <= 0 {
		s.v.Store(writeFailed)
	} else {
		s.v.Store(writeDone)
	}
	return err
}

// cancel prevents the write and reports whether it succeeded, which it does
// until the write begins.
func (s *sendState) cancel() bool { return s.v.CompareAndSwap(writePending, writeCancelled) }

// underWay prevents the write if it has not begun and reports whether it has
// begun and not ended.
func (s *sendState) underWay() bool { return !s.cancel() && s.v.Load() == writeBegun }

// wait waits for the end of a write that is under way.
func (s *sendState) wait() {
	s.mu.Lock()
	defer s.mu.Unlock() // Nothing to do but to wait.
}

// unwritten reports whether no byte was or will be written.
func (s *sendState) unwritten() bool {
	v := s.v.Load()
	return v == writeFailed || v == writeCancelled
}
