package clientbudget

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// writePiece is how much of an answer is written at once. Progress is seen after
	// each piece, so a client must take one within the stall time.
	writePiece = 16 << 10
	// uncountedWrite is the size up to which writes are not counted. They are within
	// the buffers that connBytes includes.
	uncountedWrite = 4 << 10
	// refusalLinger is how long the rest of an oversized head is read, so that the
	// refusal is not lost by a reset of the connection.
	refusalLinger = 500 * time.Millisecond
)

// oversizedHead is the answer to a head that exceeds its limit.
const oversizedHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain\r\n" +
	"Content-Length: 17\r\nConnection: close\r\n\r\nheader_too_large\n"

// exhaustedHead is the answer to a head for which there is no memory.
const exhaustedHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nRetry-After: 1\r\n" +
	"Content-Length: 11\r\nConnection: close\r\n\r\noverloaded\n"

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	budget    *Budget
	listener  *listener // Nil if it was not accepted by one.
	headLimit func() int
	inHead    atomic.Bool  // A head is expected or being read.
	failed    atomic.Bool  // Bytes of a head were dropped, so nothing more may be read.
	admitted  atomic.Int64 // Admitted by the heap limiter and not known to be allocated.
	waited    atomic.Int64 // Nanoseconds that the request has waited for room in the heap.

	cut chan struct{} // Closed when the budget closes the connection.

	// The budget's lock guards the fields below.
	usage
	evicted bool // The budget has closed the connection.
	closed  bool // Its descriptor is not in use any more.
	removed bool // The connection is no longer counted.
	head    headScan
	last    int64 // Memory for the last bytes read, if they are a head. The next one may be among them.
}

// errClosed ends a connection. The servers answer nothing to an error of this form.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read implements net.Conn. While a head is expected, it counts what the head will
// hold once it is parsed, and ends a head that exceeds its limit.
func (c *Conn) Read(p []byte) (int, error) {
	if c.failed.Load() {
		return 0, errClosed
	}
	c.noteAllocated() // What was read before has been parsed.
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.inHead.Load() {
		cost := int64(0) // A body that bypasses the server's buffer contains no head.
		if len(p) <= headSlack {
			cost = memoryOfHead(n, bytes.Count(p[:n], []byte{'\n'}))
		}
		c.noteReceived(n, cost)
		return n, err
	}
	allocation, why := c.readHead(p[:n], c.headLimit())
	if why == none && c.waitForHead(allocation) {
		return n, err
	}
	// Further reads would continue in the middle of the head: a server parses what it
	// has read before the error, and then reads again.
	c.failed.Store(true)
	if why == headSize {
		c.refuseHead()
	} else if c.Conn.SetWriteDeadline(time.Now().Add(refusalLinger)) == nil {
		_, _ = io.WriteString(c.Conn, exhaustedHead) // The budget may have closed the connection.
	}
	return 0, errClosed
}

// memoryOfHead returns the memory of n bytes of a head with the given number of lines.
func memoryOfHead(n, lines int) int64 { return int64(n + lines*lineBytes) }

func (c *Conn) noteReceived(n int, cost int64) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.last = cost
	if c.phase == reading {
		c.progress(n, b.now())
	}
}

// allocationOfHead returns what is allocated to parse the same.
func allocationOfHead(n, lines int) int64 { return int64(n + lines*lineAllocationBytes) }

// readHead counts bytes of a head. It returns what is allocated to parse them, and why
// the connection must end or none.
func (c *Conn) readHead(p []byte, limit int) (int64, reason) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if c.phase == idle {
		c.enter(reading, now)
		c.head = newHeadScan()
	}
	c.progress(len(p), now)
	lines := c.head.add(p)
	c.last = memoryOfHead(len(p), lines)
	if c.head.ended {
		c.inHead.Store(false)
	}
	if c.head.bytes > limit+headSlack {
		b.count(headSize)
		return 0, headSize
	}
	if !b.reserve(c, c.last, now) {
		if !c.evicted {
			b.count(memory)
		}
		return 0, memory
	}
	return allocationOfHead(len(p), lines), none
}

// unwaitedHead is the size up to which what is allocated for a piece of a head does not
// wait, as that of nearly all requests.
const unwaitedHead = 4 << 10

// waitForHead waits as waitForHeap does if a piece of a head takes much.
func (c *Conn) waitForHead(n int64) bool { return n <= unwaitedHead || c.waitForHeap(n) }

// waitForHeap waits until the heap has room for n bytes that the budget has already
// counted. It returns false if there is none in time, or if the budget has closed the
// connection meanwhile. The wait does not count as the client's.
func (c *Conn) waitForHeap(n int64) bool {
	b := c.budget
	small, limit, began := n <= smallBytes, maxHeapWait, b.clock.Now()
	if !small {
		limit -= time.Duration(c.waited.Load())
	}
	room := b.heap.wait(n, small, limit, c.cut)
	c.waited.Add(int64(b.clock.Now().Sub(began)))
	if room {
		c.admitted.Add(n)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.progress(0, b.now())
	if !room && !c.evicted {
		b.count(memory)
	}
	return room && !c.evicted
}

// refuseHead answers a head that exceeds its limit and reads what still arrives for
// a moment.
func (c *Conn) refuseHead() {
	if c.Conn.SetDeadline(time.Now().Add(refusalLinger)) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, oversizedHead); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // Ends at the deadline or with the connection.
}

// noteAllocated tells the heap limiter that what it has admitted is allocated.
func (c *Conn) noteAllocated() {
	if n := c.admitted.Swap(0); n != 0 {
		c.budget.heap.done(n)
	}
}

// Write implements net.Conn. It counts a large answer until the client has taken it.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) <= uncountedWrite {
		return c.writeSmall(p)
	}
	before := c.beginWrite(int64(len(p)))
	defer c.endWrite(&before, int64(len(p)))
	written := 0
	for written < len(p) {
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
		c.noteSent(n)
	}
	return written, nil
}

// writeSmall writes p, which the connection's buffers hold.
func (c *Conn) writeSmall(p []byte) (int, error) {
	before := c.beginWrite(0)
	n, err := c.Conn.Write(p)
	c.endWrite(&before, 0)
	return n, err
}

// beginWrite counts an answer, whatever is left of the budget: it is ready, and its
// request has run. Others are closed instead.
func (c *Conn) beginWrite(n int64) usage {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	before := c.usage
	c.enter(writing, now)
	if n > 0 {
		b.makeRoom(c, n, now)
		b.take(c, n)
	}
	return before
}

func (c *Conn) noteSent(n int) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.progress(n, b.now())
}

// endWrite returns to what the connection did before, which counts as progress.
func (c *Conn) endWrite(before *usage, n int64) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.phase, c.since, c.moved = before.phase, before.since, before.moved
	b.take(c, -n)
}

// CloseWrite closes the sending side. net/http uses it before it closes a
// connection whose client still sends.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.noteAllocated()
	c.budget.remove(c)
	return err
}

// delivering reports whether the system still holds a part of the last answer that
// the client may be about to take. The caller holds the budget's lock.
func (c *Conn) delivering(now time.Duration) bool {
	return c.phase == idle && c.served > 0 && now-c.since < onceStall && c.unsent() > 0
}

// unsent returns the number of bytes that were written and that the client's system
// has not acknowledged, or 0 if it is not known.
func (c *Conn) unsent() int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return n
}

// abort closes the connection at once and discards what its client has not taken. Its
// server may close it later: net/http waits after a refusal, so that the client gets it.
func (c *Conn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Fails if the connection is closed.
	}
	_ = c.Conn.Close() // As above.
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.releaseDescriptor()
}

// counts returns where the connection is counted.
func (c *Conn) counts() []*connCount {
	counts := []*connCount{&c.budget.connCount}
	if c.listener != nil {
		counts = append(counts, &c.listener.connCount)
	}
	return counts
}

// releaseDescriptor ends the count of the connection. The caller holds the budget's lock.
func (c *Conn) releaseDescriptor() {
	if c.closed {
		return
	}
	c.closed = true
	for _, n := range c.counts() {
		n.open--
		if c.evicted {
			n.evicted--
		}
	}
}
