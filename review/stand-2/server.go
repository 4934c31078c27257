package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Header fields of the platform.
const (
	headerID       = "X-Medlaryard-Request-Id"
	headerDeadline = "X-Medlaryard-Deadline-Ms"
	headerExpect   = "X-Medlaryard-Expect-Instance"
	headerInstance = "X-Medlaryard-Instance-Id"
	headerStamp    = "X-Medlaryard-Response-Stamp"
	headerNotRun   = "X-Medlaryard-Not-Executed"
)

// queueLength is how many requests a server keeps beyond those that it works on.
const queueLength = 12

// server is a sound server of one service. It works on a few requests at a time,
// queues a few more and refuses the others.
type server struct {
	lab     *lab
	id      string
	service string
	version string
	host    string
	address string
	slots   chan struct{}
	queue   chan struct{}
	work    func(r *http.Request) (took time.Duration, answerBytes int)
	write   func(w http.ResponseWriter, id string, b []byte) error

	mu   sync.Mutex
	web  *http.Server
	ran  []run
	born time.Time
}

// run is one request that a server has begun to work on.
type run struct {
	id     string
	path   string
	server string
	at     time.Duration
	bytes  int // Of the answer, once it is written completely; 0 before.
	broken bool
}

func newServer(l *lab, n int, service string, slots int, work func(*http.Request) (time.Duration, int)) *server {
	s := &server{
		lab: l, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, version: "v1", host: l.host(100 + n),
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queueLength),
		work: work,
	}
	s.write = s.writeWhole
	return s
}

const (
	heartbeat = 1200 * time.Millisecond
	// warmUp is how long servers are cold that start during traffic. The sheets and
	// the configurations of the cases state no limit for cold servers.
	warmUp = 3 * time.Second
)

// start opens the server's listener and registers the server in the store. One that
// starts during traffic is cold and says in its heartbeats for how long.
func (s *server) start(coldFor time.Duration) error {
	address := s.address
	if address == "" {
		address = s.host + ":0"
	}
	nl, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	web := &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 20 * time.Second}
	s.mu.Lock()
	s.address, s.web, s.born = nl.Addr().String(), web, time.Now()
	s.mu.Unlock()
	go func() { _ = web.Serve(nl) }() // Returns when the server ends.
	s.register(coldFor)
	go func() {
		for coldFor > 0 {
			time.Sleep(heartbeat)
			if coldFor = max(coldFor-heartbeat, 0); !s.serves(web) {
				return
			}
			s.register(coldFor)
		}
	}()
	return nil
}

// register writes the server's entry. Heartbeats that change only the sequence are
// left out, because they don't change the entry.
func (s *server) register(coldFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lab.store.Put(kindServers, s.id, serverSpec{
		Service: s.service, Address: s.address, Zone: zone(int(s.id[len(s.id)-1])), Version: s.version,
		Slots: cap(s.slots), State: "ready", WarmUpLeftMS: coldFor.Milliseconds(), Sequence: 1, Born: s.born.UnixMilli(),
	})
}

// serves reports whether the server has not ended since it began to use web.
func (s *server) serves(web *http.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.web == web
}

// crash ends the server at once: its listener and all its connections.
func (s *server) crash() {
	s.mu.Lock()
	web := s.web
	s.web = nil
	s.mu.Unlock()
	if web != nil {
		_ = web.Close() // Ends connections too; their requests are lost.
	}
}

// running reports whether the server accepts connections.
func (s *server) running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.web != nil
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(headerInstance, s.id)
		return
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != s.id {
		w.Header().Set(headerInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The request has not arrived completely.
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	i := s.begin(id, r.URL.Path)
	took, size := s.work(r)
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		s.end(i, 0, true)
		return
	}
	s.end(i, size, s.write(w, id, body(id, size)) != nil)
}

// writeWhole writes an answer of known length.
func (s *server) writeWhole(w http.ResponseWriter, id string, b []byte) error {
	w.Header().Set(headerStamp, "stamp."+s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, err := w.Write(b)
	return err
}

func (s *server) begin(id, path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = append(s.ran, run{id: id, path: path, server: s.id, at: s.lab.rec.now()})
	return len(s.ran) - 1
}

func (s *server) end(i, size int, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[i].bytes, s.ran[i].broken = size, broken
}

// runs returns what the server has run.
func (s *server) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.ran...)
}

// body returns the server's bytes for a request.
func body(id string, size int) []byte {
	sum := sha256.Sum256([]byte(id))
	text := hex.EncodeToString(sum[:])
	b := make([]byte, size)
	for n := 0; n < size; n += len(text) {
		copy(b[n:], text)
	}
	return b
}
