package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since
// its start. It is safe for concurrent use.
type record struct {
	start time.Time

	mu sync.Mutex
	w  io.Writer
}

func newRecord(w io.Writer) *record { return &record{start: time.Now(), w: w} }

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.start) }

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}
