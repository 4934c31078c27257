package clientbudget

import (
	"errors"
	"io"
	"net/http"
)

var (
	// ErrExhausted means that there is no memory for a request. It has not run.
	ErrExhausted = errors.New("no memory is left for a request")
	// errCut means that the budget has closed the connection.
	errCut = errors.New("the connection was closed to free memory")
)

// StartRequest notes that a head is complete. Servers that are not of net/http call
// it before they use the request, see Configure.
func (c *Conn) StartRequest() {
	if c == nil {
		return
	}
	if !c.inHead.CompareAndSwap(true, false) {
		return // The end of the head was seen.
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase == idle { // All of the head was read together with the request before.
		c.enter(reading, b.now())
	}
}

// HeadWithin reports whether the head of the request is known to have at most limit
// bytes as it was sent. It is known for the first request on a connection; a later
// head may have been read in part with the request before.
func (c *Conn) HeadWithin(limit int) bool {
	if c == nil {
		return false
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.served == 0 && c.head.ended && c.head.bytes <= limit
}

// EndRequest notes that a request is answered and releases what it held.
func (c *Conn) EndRequest() {
	if c == nil {
		return
	}
	c.noteAllocated()
	// The begin of the next head may have been read with the end of this request.
	if next := c.release(); !c.waitForHead(next) {
		c.failed.Store(true)
	}
}

// release releases what a request held, and returns the memory for the bytes that were
// read last.
func (c *Conn) release() int64 {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(c, connBytes+c.last-c.held)
	c.served++
	c.once = false
	c.waited.Store(0)
	c.enter(idle, b.now())
	c.inHead.Store(true)
	return c.last
}

// Run notes that the request is complete and may run from now on, if once is true
// only once. It fails with ErrExhausted while answers that were not taken exceed the
// budget. After it has returned nil, the budget closes the connection only when its
// client does not take the answer.
func (c *Conn) Run(once bool) error {
	if c == nil {
		return nil
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case c.evicted:
		return errCut
	case b.held-b.closing > b.limits.bytes && !b.makeRoom(c, 0, b.now()):
		b.refused++
		return ErrExhausted
	}
	c.once = once
	c.phase = running // Its begin does not matter.
	return nil
}

// uncountedBody is the part of each buffer for a body that does not count, so that
// usual requests take no lock for it. connBytes includes it.
const uncountedBody = 4 << 10

// reserveBody notes that a buffer for a body of one size is replaced by one of
// another size. It waits until the heap has room for a larger one.
func (c *Conn) reserveBody(from, to int64) error {
	from, to = max(0, from-uncountedBody), max(0, to-uncountedBody)
	if c == nil || from == to {
		return nil
	}
	if err := c.countBody(from, to); err != nil || to <= from || c.waitForHeap(to-from) {
		return err
	}
	return ErrExhausted
}

func (c *Conn) countBody(from, to int64) error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case c.evicted:
		return errCut
	case to <= from:
		b.take(c, to-from)
	case !b.reserve(c, to-from, b.now()):
		b.refused++
		return ErrExhausted
	}
	return nil
}

// admitBody returns an error if a large body of n bytes would not fit.
func (c *Conn) admitBody(n int64) error {
	if c == nil || n < largeBytes {
		return nil
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.makeRoom(c, n, b.now()) {
		b.refused++
		return ErrExhausted
	}
	return nil
}

const (
	// firstBody is the size of the first buffer for a body. The buffer grows by
	// bodyGrowth as the body arrives, so that a length alone takes no memory.
	firstBody   = 16 << 10
	bodyGrowth  = 4
	unknownBody = 4 << 10 // First buffer of a body without a length.
)

// ReadBody reads a whole body, whose length is negative if it is not known. If limit
// is positive, a longer body fails with an *http.MaxBytesError, before anything is
// freed for it if its length is known, and otherwise with the error of r. ReadBody
// fails with ErrExhausted if the budget has no room. A nil Conn has no budget.
func (c *Conn) ReadBody(r io.Reader, length int64, limit int) ([]byte, error) {
	if limit > 0 && length > int64(limit) {
		return nil, &http.MaxBytesError{Limit: int64(limit)}
	}
	if err := c.admitBody(length); err != nil {
		return nil, err
	}
	size := int64(unknownBody)
	if length >= 0 {
		size = min(length, firstBody)
	}
	if err := c.reserveBody(0, size); err != nil {
		return nil, err
	}
	// One byte beyond the length lets the last Read return the end of the body.
	buf := make([]byte, 0, size+1)
	c.NoteAllocated()
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return c.trim(buf, size)
		}
		if err != nil {
			return nil, errors.Join(err, c.reserveBody(size, 0))
		}
		if len(buf) < cap(buf) {
			continue
		}
		next := size * bodyGrowth
		if length >= 0 {
			next = min(next, length)
		} else if limit > 0 {
			next = min(next, int64(limit))
		}
		next = max(next, size+1) // r reports a body that exceeds its length or limit.
		// The old buffer is garbage only after the copy.
		if err := c.reserveBody(0, next); err != nil {
			return nil, err
		}
		buf = append(make([]byte, 0, next+1), buf...)
		c.NoteAllocated()
		if err := c.reserveBody(size, 0); err != nil {
			return nil, err
		}
		size = next
	}
}

// AdmitAllocation waits until the heap has room for n bytes that are allocated to decode
// the request; NoteAllocated must be called when they are. It fails with ErrExhausted if
// there is no room in time. The request must not run then.
func (c *Conn) AdmitAllocation(n int) error {
	if c == nil || n <= uncountedBody || c.waitForHeap(int64(n)) {
		return nil
	}
	return ErrExhausted
}

// NoteAllocated notes that what was admitted is allocated.
func (c *Conn) NoteAllocated() {
	if c != nil {
		c.noteAllocated()
	}
}

// trim returns a body in a buffer of about its size.
func (c *Conn) trim(buf []byte, size int64) ([]byte, error) {
	if int64(len(buf)) >= size/2 {
		return buf, nil
	}
	buf = append(make([]byte, 0, len(buf)), buf...)
	return buf, c.reserveBody(size, int64(len(buf)))
}
