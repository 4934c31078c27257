package readbudget

import (
	"bufio"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/response"
)

// maxWait is how long a large answer waits until the answers before it are read.
// It is below the time after which targets cut off an answer that is not read.
const maxWait = time.Second

// roomInterval is the time between checks whether others have released memory.
const roomInterval = 5 * time.Millisecond

// ReadResponse reads an answer of at most maxBody bytes from br, which reads from r.
// A body of known length is read only when there is room for all of it, because its
// buffer is allocated at once.
func (r *Reader) ReadResponse(resp *fasthttp.Response, br *bufio.Reader, maxBody int) error {
	return response.ReadWithin(resp, br, maxBody, func(length int) error {
		if !r.reserve(length) {
			return errSpent
		}
		return nil
	})
}

// reserve takes what n more bytes of the current answer count. It waits until there
// is room, and returns false if there is none in time.
func (r *Reader) reserve(n int) bool {
	need := r.read + n - freeBytes - r.taken // What is read so far may be all of the head.
	if need <= 0 {
		return true
	}
	if !r.budget.await(need, r.taken, maxWait) {
		return false
	}
	r.taken += need
	return r.budget.admits(need, r.taken)
}

// await takes n more bytes, as take does, as soon as they are free. It returns false
// after the given time.
func (b *Budget) await(n, own int, limit time.Duration) bool {
	if b.take(n, own) {
		return true
	}
	timer, poll := b.clock.NewTimer(limit), b.clock.NewTimer(roomInterval)
	defer timer.Stop()
	defer poll.Stop()
	for {
		b.mu.Lock()
		freed := b.freed
		b.mu.Unlock()
		if b.take(n, own) {
			return true
		}
		select {
		case <-freed:
		case <-poll.C(): // Memory that others hold is released without notice.
			poll.Reset(roomInterval)
		case <-timer.C():
			return false
		}
	}
}
