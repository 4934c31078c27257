//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// searcher is a stand-in for one searcher. It follows PROTOCOL.md: it echoes the
// request ID in all answers, runs slots requests at a time, queues a few more and
// refuses the rest with 503 and X-Medlaryard-Not-Executed.
type searcher struct {
	id      string
	service string
	zone    string
	version string
	address string
	record  *record
	slots   int
	queue   int
	work    time.Duration

	// repeatShare is the share of the answers that are sent a second time, late, at
	// the point where the next answer on the connection is expected.
	repeatShare func() float64
	// crashRate is the number of requests within one second that crash the searcher
	// while it is cold; 0 means that it does not crash.
	crashRate int
	onCrash   func(*searcher)
	// fails reports whether requests of a path fail, with 500. They have run.
	fails func(path string) bool

	mu        sync.Mutex
	rng       *rand.Rand
	listener  net.Listener
	conns     map[net.Conn]bool
	admitted  int
	running   chan struct{}
	born      int64
	coldUntil time.Time
	arrivals  []time.Time // Requests that arrived while it was cold.
	repeated  int
	start     int // Counts the starts.
}

func newSearcher(id, service, zone string, r *record, slots, queue int, work time.Duration) *searcher {
	return &searcher{
		id: id, service: service, zone: zone, version: "v1", record: r, slots: slots, queue: queue, work: work,
		repeatShare: func() float64 { return 0 }, onCrash: func(*searcher) {}, fails: func(string) bool { return false },
		rng: rand.New(rand.NewSource(int64(len(id)) + time.Now().UnixNano())), conns: make(map[net.Conn]bool),
	}
}

// listen starts the searcher. It is cold for the given time.
func (s *searcher) listen(cold time.Duration) error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.address = l, l.Addr().String()
	s.running = make(chan struct{}, s.slots)
	s.admitted, s.arrivals = 0, nil
	s.born = time.Now().UnixMilli()
	s.coldUntil = time.Now().Add(cold)
	s.start++
	start := s.start
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c, start)
		}
	}()
	return nil
}

// crash ends the searcher as a kill of its process would.
func (s *searcher) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.conns = make(map[net.Conn]bool)
	s.start++
}

// entry is what the searcher writes to the store.
func (s *searcher) entry(sequence int) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "max_concurrency": s.slots,
		"state": "ready", "warmup_left_ms": max(time.Until(s.coldUntil).Milliseconds(), 0), "sequence": sequence, "born": s.born,
	}
}

func (s *searcher) serve(c net.Conn, start int) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	late := "" // A second copy of an answer, sent where the next one is expected.
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		if late != "" {
			if _, err := c.Write([]byte(late)); err != nil {
				return
			}
			late = ""
		}
		answer, ok := s.handle(&req, start)
		if !ok {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
		if p := s.repeatShare(); p > 0 {
			s.mu.Lock()
			if s.rng.Float64() < p {
				late = answer
				s.repeated++
			}
			s.mu.Unlock()
		}
	}
}

func (s *searcher) handle(req *fasthttp.Request, start int) (string, bool) {
	id := string(req.Header.Peek("X-Medlaryard-Request-Id"))
	echo := ""
	if id != "" {
		echo = "X-Medlaryard-Request-Id: " + id + "\r\n"
	}
	if string(req.URI().Path()) == "/healthz" {
		s.mu.Lock()
		left := max(time.Until(s.coldUntil).Milliseconds(), 0)
		s.mu.Unlock()
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Medlaryard-Instance-Id: %s\r\nX-Medlaryard-Warmup-Ms: %d\r\nContent-Length: 0\r\n\r\n", echo, s.id, left), true
	}
	if id == "" {
		return "HTTP/1.1 400 Bad Request\r\nX-Medlaryard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true
	}
	if want := string(req.Header.Peek("X-Medlaryard-Expect-Instance")); want != "" && want != s.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%sX-Medlaryard-Instance-Id: %s\r\nX-Medlaryard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", echo, s.id), true
	}
	s.mu.Lock()
	if s.start != start {
		s.mu.Unlock()
		return "", false
	}
	now := time.Now()
	if now.Before(s.coldUntil) {
		s.arrivals = append(s.arrivals, now)
		s.record.coldArrival(s, now)
		if s.crashRate > 0 && within(s.arrivals, now, time.Second) > s.crashRate {
			s.mu.Unlock()
			s.record.add("crash searcher=%s: %d requests within a second while cold", s.id, s.crashRate+1)
			s.crash()
			s.onCrash(s)
			return "", false
		}
	}
	if s.admitted >= s.slots+s.queue {
		s.mu.Unlock()
		s.record.searcherRefused(id, s.id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + echo + "X-Medlaryard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true
	}
	s.admitted++
	running := s.running
	work := time.Duration(float64(s.work) * (0.6 + 0.8*s.rng.Float64()))
	s.mu.Unlock()
	running <- struct{}{}
	s.record.run(id, s.id)
	time.Sleep(work)
	<-running
	s.mu.Lock()
	alive := s.start == start
	if alive {
		s.admitted--
	}
	s.mu.Unlock()
	if !alive {
		return "", false
	}
	if s.fails(string(req.URI().Path())) {
		s.record.add("failed %s at=%s", id, s.id)
		return fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%sX-Medlaryard-Response-Stamp: %s.%s\r\nContent-Length: 0\r\n\r\n", echo, s.id, id), true
	}
	s.record.answeredBySearcher(id, s.id)
	body := strings.Repeat("result ", 20) + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Medlaryard-Response-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", echo, s.id, id, len(body), body), true
}

// within returns the number of times in the span that ends at now.
func within(times []time.Time, now time.Time, span time.Duration) int {
	n := 0
	for i := len(times) - 1; i >= 0 && now.Sub(times[i]) < span; i-- {
		n++
	}
	return n
}
