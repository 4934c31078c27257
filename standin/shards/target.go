package shards

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/platform"
)

// Target is one emulated target.
type Target struct {
	id      string
	address string

	mu          sync.Mutex
	rng         *rand.Rand
	behaviour   Behaviour
	pauseOrigin time.Time // Start of the first pause period.
	conns       map[net.Conn]struct{}
	slots       chan struct{}  // Contains a token for each running request.
	admitted    int            // Requests that are queued or running.
	runs        map[string]int // Number of runs by request id.
	refused     int
	crashes     int
	peakConns   int // Maximum number of concurrent connections.
	accepted    int
	arrivals    []time.Time // Arrival times of requests for this target.
	coldUntil   time.Time
	probes      int
	copies      map[string]string // Second copies of answers, to be sent on any connection, by request ID.
}

var (
	errReset   = fmt.Errorf("emulated target: %w", syscall.ECONNRESET)
	errRefused = fmt.Errorf("emulated target: %w", syscall.ECONNREFUSED)
)

func newTarget(id, address string, b Behaviour, seed int64) *Target {
	rng := rand.New(rand.NewSource(seed))
	// A random phase makes the targets pause at different times.
	pauseOrigin := time.Now().Add(-time.Duration(rng.Int63n(int64(time.Hour))))
	return &Target{
		id: id, address: address, behaviour: b, rng: rng, pauseOrigin: pauseOrigin,
		conns: make(map[net.Conn]struct{}), slots: make(chan struct{}, b.slots), runs: make(map[string]int), copies: make(map[string]string),
	}
}

// SetCold makes the target state for d that it is cold.
func (t *Target) SetCold(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = time.Now().Add(d)
}

// Probes returns the number of requests to HealthPath.
func (t *Target) Probes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.probes
}

// SetBehaviour replaces the behaviour. If b is down, it closes all connections. The
// number of slots stays as it was when the target was added.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
	if b.down {
		for c := range t.conns {
			_ = c.Close() // The emulated reset.
		}
	}
}

// ResetConns closes all connections. New ones are accepted all the while.
func (t *Target) ResetConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close() // The emulated reset.
	}
}

// Runs returns the number of times that each request ran on the target, by
// request id.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		runs[id] = n
	}
	return runs
}

// MaxArrivals returns the maximum number of requests that arrived within any
// interval of length span. Requests that were addressed to another target do not
// count.
func (t *Target) MaxArrivals(span time.Duration) int {
	return t.MaxArrivalsSince(time.Time{}, span)
}

// MaxArrivalsSince returns the same for the requests that arrived after start.
func (t *Target) MaxArrivalsSince(start time.Time, span time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	maxCount, first := 0, 0
	for i, at := range t.arrivals {
		for at.Sub(t.arrivals[first]) >= span || t.arrivals[first].Before(start) && first < i {
			first++
		}
		if at.Before(start) {
			continue
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// LastArrival returns when the last request arrived that counts for MaxArrivals, or
// the zero time if there is none.
func (t *Target) LastArrival() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.arrivals) == 0 {
		return time.Time{}
	}
	return t.arrivals[len(t.arrivals)-1]
}

// Refused returns the number of requests that the target refused.
func (t *Target) Refused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// PeakConnections returns the maximum number of concurrently open connections.
func (t *Target) PeakConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peakConns
}

// AcceptedConnections returns the number of connections that the target accepted.
func (t *Target) AcceptedConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accepted
}

func (t *Target) currentBehaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// randomFault reports whether to inject a fault with probability p.
func (t *Target) randomFault(p float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return p > 0 && t.rng.Float64() < p
}

// dial implements Emulator.Dial.
func (t *Target) dial(ctx context.Context) (net.Conn, error) {
	b := t.currentBehaviour()
	switch {
	case b.down:
		return nil, errRefused
	case b.blackhole:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := sleep(ctx, b.handshakeTime); err != nil {
		return nil, err
	}
	client, server := net.Pipe()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.behaviour.maxConns {
		_, _ = client.Close(), server.Close() // The emulated reset.
		return nil, errReset
	}
	t.conns[server] = struct{}{}
	t.accepted++
	t.peakConns = max(t.peakConns, len(t.conns))
	go t.serveConn(server)
	return client, nil
}

// sleep waits for d, or until ctx ends. It sets no timer for a d of 0: the race detector
// can crash where a timer is due at once in a synctest bubble.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveConn serves the requests of one connection until it closes.
func (t *Target) serveConn(conn net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
		_ = conn.Close()
	}()
	r := bufio.NewReader(conn)
	w := &answerWriter{Conn: conn, target: t}
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		if !w.writeLateCopy(string(req.Header.Peek(platform.HeaderRequestID))) || !t.handle(w, &req) {
			return
		}
	}
}

// handle serves one request. It returns false if the connection must be closed.
func (t *Target) handle(w *answerWriter, req *fasthttp.Request) bool {
	id := string(req.Header.Peek(platform.HeaderRequestID))
	b := t.currentBehaviour()
	if want := string(req.Header.Peek(platform.HeaderExpect)); want != "" && want != t.id {
		return w.write(b, id, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			platform.HeaderInstance, t.id, platform.HeaderRequestID, id))
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.mu.Unlock()
	if string(req.URI().Path()) == HealthPath {
		return t.answerProbe(w, b)
	}
	if t.randomFault(b.refusedShare) || !t.acquireSlot(b) {
		t.mu.Lock()
		t.refused++
		t.mu.Unlock()
		return w.write(b, id, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
			b.header, platform.HeaderRequestID, id, platform.HeaderNotRun))
	}
	if b.crashText != "" && strings.Contains(string(req.RequestURI()), b.crashText) {
		t.crash(b)
		t.releaseSlot()
		return false
	}
	t.simulateWork(b, id, req)
	t.releaseSlot()
	if b = t.currentBehaviour(); b.blackhole || b.silent {
		// Keeps the connection open without a reply until the client closes it.
		_, _ = io.Copy(io.Discard, w.Conn)
		return false
	}
	if b.endless != Ends {
		writeEndless(w.Conn, b.endless, formatHead(b, 200, id, t.id))
		return false
	}
	if t.randomFault(b.droppedReplyShare) {
		return false
	}
	if t.randomFault(b.failedShare) {
		return w.write(b, id, formatResponse(b, 500, id, t.id, nil))
	}
	response := formatResponse(b, 200, id, t.id, Records(t.id, string(req.RequestURI())))
	if t.randomFault(b.duplicatedReplyShare) {
		response += response
	}
	return w.write(b, id, response)
}

// acquireSlot waits for a slot. It returns false at once if the queue is full.
func (t *Target) acquireSlot(b Behaviour) bool {
	t.mu.Lock()
	if t.admitted >= b.slots+b.queue {
		t.mu.Unlock()
		return false
	}
	t.admitted++
	t.mu.Unlock()
	t.slots <- struct{}{}
	return true
}

// crash takes the target down, which closes its connections, and restarts it with
// behaviour b after 3 s.
func (t *Target) crash(b Behaviour) {
	const restartDelay = 3 * time.Second
	t.mu.Lock()
	t.crashes++
	t.mu.Unlock()
	t.SetBehaviour(b.With(Down()))
	time.AfterFunc(restartDelay, func() { t.SetBehaviour(b) })
}

// Crashes returns the number of requests that crashed the target.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// releaseSlot frees a slot that acquireSlot acquired.
func (t *Target) releaseSlot() {
	<-t.slots
	t.mu.Lock()
	t.admitted--
	t.mu.Unlock()
}

// simulateWork counts a run of request id and sleeps for its service time,
// pauses included.
func (t *Target) simulateWork(b Behaviour, id string, req *fasthttp.Request) {
	t.mu.Lock()
	t.runs[id]++
	d := time.Duration(float64(b.serviceTime) * b.slowFactor * math.Exp(b.spread*t.rng.NormFloat64()))
	t.mu.Unlock()
	if b.work != nil {
		d = time.Duration(float64(d) * b.work(string(req.RequestURI()), len(req.Body())))
	}
	if b.pausePeriod > 0 {
		for step := time.Millisecond; d > 0; d -= step {
			if since := time.Since(t.pauseOrigin) % b.pausePeriod; since < b.pause {
				time.Sleep(b.pause - since)
			}
			time.Sleep(min(step, d))
		}
		return
	}
	time.Sleep(d)
}
