//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what clients and searchers saw, and writes it to a file.
type record struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	w       *bufio.Writer
	runs    map[string][]string  // Searchers on which a request ran, by its ID.
	ranAt   map[string]time.Time // When a request ran first.
	done    map[string]bool      // Requests that a searcher has finished.
	refused map[string]int
	answers map[string]answer
	cold    map[string][]time.Time // Arrivals at each start of a cold searcher.
	onRun   func(id string)
}

// answer is how a client attempt ended. The status is 0 if the connection ended
// without a complete answer.
type answer struct {
	status int
	err    string
	daemon string
	post   bool
	at     time.Time
	reused bool // The attempt was sent on a kept connection.
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(), file: f, w: bufio.NewWriter(f), runs: make(map[string][]string), ranAt: make(map[string]time.Time), done: make(map[string]bool),
		refused: make(map[string]int), answers: make(map[string]answer), cold: make(map[string][]time.Time), onRun: func(string) {},
	}, nil
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

func (r *record) addLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.w, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) run(id, searcher string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs[id]) == 0 {
		r.ranAt[id] = time.Now()
	}
	r.runs[id] = append(r.runs[id], searcher)
	r.addLocked("run %s at=%s", id, searcher)
}

func (r *record) answeredBySearcher(id, searcher string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[id] = true
	r.addLocked("ran %s at=%s", id, searcher)
}

func (r *record) searcherRefused(id, searcher string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[id]++
	r.addLocked("full %s at=%s", id, searcher)
}

func (r *record) coldArrival(s *searcher, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprintf("%s start %d", s.id, s.start)
	r.cold[key] = append(r.cold[key], at)
	r.addLocked("cold-arrival at=%s start=%d", s.id, s.start)
}

func (r *record) sent(id, daemon, method string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked("send %s %s to=%s", id, method, daemon)
}

func (r *record) answered(id string, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = a
	if a.err != "" {
		r.addLocked("end %s by=%s error=%q", id, a.daemon, a.err)
		return
	}
	r.addLocked("end %s by=%s status=%d", id, a.daemon, a.status)
}
