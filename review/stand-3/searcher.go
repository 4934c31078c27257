//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// searcher is a stand-in of one searcher, as kit/more/system/PROTOCOL.md describes it.
type searcher struct {
	lab     *lab
	id      string
	service string
	version string
	zone    string
	address string
	work    time.Duration
	slots   int

	mu       sync.Mutex
	sequence int
	runs     []run
	fails    func(n int) bool // Reports whether the n-th run ends with status 500; nil if none does.
	slows    func(n int) bool // Reports whether the n-th run takes slowWork; nil if none does.
	slowWork time.Duration
	server   *http.Server
}

// run is a request that a searcher began to work on.
type run struct {
	id string
	at time.Time
}

const slotsPerSearcher = 40

// newSearcher starts a searcher and registers it in the store.
func (l *lab) newSearcher(id, service, version, zone string, work time.Duration) (*searcher, error) {
	s := &searcher{lab: l, id: id, service: service, version: version, zone: zone, work: work, slots: slotsPerSearcher}
	address, err := l.serve(s)
	if err != nil {
		return nil, err
	}
	s.address, s.server = address, l.servers[len(l.servers)-1]
	s.register("ready")
	l.searchers = append(l.searchers, s)
	return s, nil
}

// register writes the searcher's entry.
func (s *searcher) register(state string) {
	s.mu.Lock()
	s.sequence++
	n := s.sequence
	s.mu.Unlock()
	s.lab.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "max_concurrency": s.slots,
		"state": state, "warmup_left_ms": 0, "sequence": n, "born": s.lab.began.UnixMilli(),
	})
}

// stop ends the searcher at once and removes its entry.
func (s *searcher) stop() {
	_ = s.server.Close() // Connections are cut, as by the end of a process.
	s.lab.store.Delete("servers", s.id)
	s.lab.note("searcher %s (%s %s) stops", s.id, s.service, s.version)
}

// setWork sets how long a run takes.
func (s *searcher) setWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

// slow makes the runs for which slows returns true take d.
func (s *searcher) slow(slows func(n int) bool, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slows, s.slowWork = slows, d
}

func (s *searcher) began() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set("X-Medlaryard-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Medlaryard-Request-Id")
	if id != "" {
		h.Set("X-Medlaryard-Request-Id", id)
	}
	switch expected := r.Header.Get("X-Medlaryard-Expect-Instance"); {
	case expected != "" && expected != s.id:
		h.Set("X-Medlaryard-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("X-Medlaryard-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The request did not arrive completely.
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, at: time.Now()})
	n := len(s.runs)
	failing := s.fails != nil && s.fails(n)
	work := s.work
	if s.slows != nil && s.slows(n) {
		work = s.slowWork
	}
	s.mu.Unlock()
	s.lab.note("  %s (%s %s) runs %s %s", s.id, s.service, s.version, id, r.URL.Path)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Medlaryard-Response-Stamp", fmt.Sprintf("%s.%d", s.id, n))
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s\n", s.service, s.version) // The daemon sees a cut answer.
}
