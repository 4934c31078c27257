package shards

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/platform"
)

// Target is one emulated target.
type Target struct {
	id      string
	address string

	mu       sync.Mutex
	rng      *rand.Rand
	b        Behaviour
	started  time.Time
	conns    map[net.Conn]struct{}
	free     chan struct{} // Holds a token for each request that runs.
	waiting  int
	ran      map[string]int // Runs by request id.
	refused  int
	crashes  int
	peak     int // The most connections at once.
	accepted int
	arrivals []time.Time // Of requests for this target.
}

var (
	errReset   = errors.New("connection reset")
	errRefused = errors.New("connection refused")
)

func newTarget(id, address string, b Behaviour, seed int64) *Target {
	rng := rand.New(rand.NewSource(seed))
	// Each target pauses at its own time.
	started := time.Now().Add(-time.Duration(rng.Int63n(int64(time.Hour))))
	return &Target{
		id: id, address: address, b: b, rng: rng, started: started,
		conns: make(map[net.Conn]struct{}), free: make(chan struct{}, b.slots), ran: make(map[string]int),
	}
}

// SetBehaviour changes the behaviour. A target that goes down resets its connections.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.b = b
	if b.down {
		for c := range t.conns {
			_ = c.Close() // The emulated reset.
		}
	}
}

// Runs returns how often a request ran here, by its id.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.ran))
	for id, n := range t.ran {
		runs[id] = n
	}
	return runs
}

// MostArrivals returns the most requests that arrived within any span of that
// length. Requests that were meant for another target do not count.
func (t *Target) MostArrivals(span time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most, first := 0, 0
	for i, at := range t.arrivals {
		for at.Sub(t.arrivals[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Refused returns how many requests were refused.
func (t *Target) Refused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// PeakConnections returns the most connections that were open at once.
func (t *Target) PeakConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// Accepted returns how many connections were accepted.
func (t *Target) Accepted() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accepted
}

func (t *Target) behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.b
}

// chance reports true with that probability.
func (t *Target) chance(p float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return p > 0 && t.rng.Float64() < p
}

// dial makes a connection to the target.
func (t *Target) dial(ctx context.Context) (net.Conn, error) {
	b := t.behaviour()
	switch {
	case b.down:
		return nil, errRefused
	case b.blackhole:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := sleep(ctx, b.handshake); err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.b.maxConns {
		_, _ = near.Close(), far.Close() // The emulated reset.
		return nil, errReset
	}
	t.conns[far] = struct{}{}
	t.accepted++
	t.peak = max(t.peak, len(t.conns))
	go t.serve(far)
	return near, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serve answers the requests of one connection.
func (t *Target) serve(conn net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
		_ = conn.Close()
	}()
	r := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		if !t.handle(conn, &req) {
			return
		}
	}
}

// handle serves one request and reports whether the connection stays open.
func (t *Target) handle(conn net.Conn, req *fasthttp.Request) bool {
	id := string(req.Header.Peek(platform.HeaderRequestID))
	b := t.behaviour()
	if want := string(req.Header.Peek(platform.HeaderExpect)); want != "" && want != t.id {
		return write(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", platform.HeaderInstance, t.id))
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.mu.Unlock()
	if t.chance(b.shedding) || !t.enter(b) {
		t.mu.Lock()
		t.refused++
		t.mu.Unlock()
		return write(conn, "HTTP/1.1 503 Service Unavailable\r\n"+platform.HeaderNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	}
	if b.poison != "" && strings.Contains(string(req.RequestURI()), b.poison) {
		t.crash(b)
		t.leave()
		return false
	}
	t.work(b, id)
	t.leave()
	if b = t.behaviour(); b.blackhole || b.silent {
		// Nothing is ever answered; the connection stays open until the other
		// end closes it.
		_, _ = io.Copy(io.Discard, conn)
		return false
	}
	if t.chance(b.droppingReplies) {
		return false
	}
	if t.chance(b.failing) {
		return write(conn, answer(500, id, t.id, nil))
	}
	a := answer(200, id, t.id, Records(t.id, string(req.RequestURI())))
	if t.chance(b.duplicating) {
		a += a
	}
	return write(conn, a)
}

// enter takes a slot and reports false when the queue is full.
func (t *Target) enter(b Behaviour) bool {
	t.mu.Lock()
	if t.waiting >= b.slots+b.queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	t.free <- struct{}{}
	return true
}

// crash ends all connections and accepts none for a while.
func (t *Target) crash(b Behaviour) {
	const restart = 3 * time.Second
	t.mu.Lock()
	t.crashes++
	t.mu.Unlock()
	t.SetBehaviour(b.With(Down()))
	time.AfterFunc(restart, func() { t.SetBehaviour(b) })
}

// Crashes returns how often a request crashed the target.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

func (t *Target) leave() {
	<-t.free
	t.mu.Lock()
	t.waiting--
	t.mu.Unlock()
}

// work passes the time that a request takes, pauses included.
func (t *Target) work(b Behaviour, id string) {
	t.mu.Lock()
	t.ran[id]++
	d := time.Duration(float64(b.work) * b.slowness * math.Exp(b.spread*t.rng.NormFloat64()))
	t.mu.Unlock()
	if b.pauseGap > 0 {
		for step := time.Millisecond; d > 0; d -= step {
			if since := time.Since(t.started) % b.pauseGap; since < b.pause {
				time.Sleep(b.pause - since)
			}
			time.Sleep(min(step, d))
		}
		return
	}
	time.Sleep(d)
}

func write(conn net.Conn, s string) bool {
	_, err := conn.Write([]byte(s))
	return err == nil
}

// answer is a complete answer with the target's signature for the request.
func answer(status int, id, target string, body []byte) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
		status, fasthttp.StatusMessage(status), platform.HeaderRequestID, id, platform.HeaderStamp, target, id, len(body), body)
}
