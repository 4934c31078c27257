//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

// memoryCase: configurations come in quick succession. The platform ends a process
// that exceeds its memory.
func memoryCase(w *world) (int, error) {
	const (
		service   = "queue-board"
		memoryMB  = 284
		storm     = 4 * time.Second
		gap       = 330 * time.Millisecond
		stormGap  = 500 * time.Millisecond
		length    = 90 * time.Second
		perSecond = 150
		routes    = 4950
	)
	version := 7
	put := func() int {
		spec := config(version, service, 100, 0, routes)
		raw, _ := json.Marshal(spec)
		w.store.Put("config", "main", json.RawMessage(raw))
		w.record.add("config version=%d bytes=%d", version, len(raw))
		version += 3
		return len(raw)
	}
	if n := put(); n > 1<<20 {
		return unrun, errors.New("configuration exceeds value_bytes: " + strconv.Itoa(n))
	}
	for i := range 7 {
		s := newSearcher("i-7f3a91c"+strconv.Itoa(i), service, w.zones[i%2], w.record, 3, 12, 90*time.Millisecond)
		if err := w.addSearcher(s); err != nil {
			return unrun, err
		}
	}
	if err := w.startDaemons(3); err != nil {
		return unrun, err
	}
	c := newClients(w)
	if !c.resolve() {
		return unrun, errNoAddress
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var mu sync.Mutex
	peak := map[string]int{}
	kills := map[string][]time.Time{}
	go func() {
		killed := map[int]bool{}
		for n := 0; ctx.Err() == nil; n++ {
			time.Sleep(100 * time.Millisecond)
			for _, d := range w.daemons {
				pid := d.pid()
				mb := residentMB(pid)
				if n%20 == 0 {
					w.record.add("memory %s pid=%d mb=%d", d.name, pid, mb)
				}
				mu.Lock()
				peak[d.name] = max(peak[d.name], mb)
				if mb > memoryMB && !killed[pid] {
					killed[pid] = true
					kills[d.name] = append(kills[d.name], time.Now())
					w.record.add("platform kills %s pid=%d: %d MB, memory_mb is %d", d.name, pid, mb, memoryMB)
					d.signal(syscall.SIGKILL)
				}
				mu.Unlock()
			}
		}
	}()
	changes := 0
	go func() {
		for began := time.Now(); w.trouble && ctx.Err() == nil; {
			if time.Since(began) > storm {
				time.Sleep(stormGap)
				began = time.Now()
			}
			time.Sleep(gap)
			put()
			mu.Lock()
			changes++
			mu.Unlock()
		}
	}()
	c.run(ctx, "m", perSecond, 1, 6*time.Second)
	time.Sleep(time.Second)
	// LOST: requests on kept connections that were passed on to a sound searcher and
	// whose connection ended without an answer.
	w.record.mu.Lock()
	lost := 0
	counts := map[int]int{}
	for id, a := range w.record.answers {
		counts[a.status]++
		if a.status == 0 && a.reused && len(w.record.runs[id]) > 0 {
			lost++
		}
	}
	w.record.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	ends := 0
	for _, k := range kills {
		ends += len(k)
	}
	return w.verdict(lost > 3, "configurations: %d; peak memory of the daemons, MB: %v; ended over memory_mb: %d %v\nrequests by status: %v\nrun by a sound searcher, on a kept connection that ended without an answer: %d",
		changes+1, peak, ends, names(kills), counts, lost), nil
}

func names(kills map[string][]time.Time) map[string]int {
	n := map[string]int{}
	for name, k := range kills {
		n[name] = len(k)
	}
	return n
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	b, err := os.ReadFile(filepath.Join(string(filepath.Separator)+"proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0
	}
	f := bytes.Fields(b)
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(string(f[1]))
	return pages * os.Getpagesize() >> 20
}
