//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["limited"] = playLimited }

const (
	configApply = 3 * time.Second
	maxStretch  = 12 * time.Second
	// entryLength is the largest dose of a refusal of machines in the site file.
	entryLength = 9 * time.Second
	// entries is the number of refusals, each of which begins when the last one ends.
	entries = 2
)

// limiter passes the calls of one machine on to the store. While it is on, it refuses
// them with 429, except for those that do not count toward the rate.
type limiter struct {
	next     http.Handler
	on       atomic.Bool
	refused  atomic.Int64
	passedOn atomic.Int64
}

// ServeHTTP implements http.Handler.
func (l *limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.on.Load() {
		if r.URL.Query().Get("allow_stale") != "1" {
			l.refused.Add(1)
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		l.passedOn.Add(1)
	}
	l.next.ServeHTTP(w, r)
}

// playLimited changes the configuration while the store refuses the counted calls of one
// machine and serves the two others. The route moves from one service to another.
func playLimited(l *lab) error {
	handler := l.store.Handler()
	limited := &limiter{next: handler}
	store, err := l.serve(handler)
	if err != nil {
		return err
	}
	limitedStore, err := l.serve(limited)
	if err != nil {
		return err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, zone := range zones {
		for _, service := range []string{"board-old", "board-new"} {
			if _, err := l.newSearcher(fmt.Sprintf("i-%s-%d", service, i), service, "v1", zone, 20*time.Millisecond); err != nil {
				return err
			}
		}
	}
	move := func(version int, to string) {
		l.putConfig(version, []map[string]any{route("r1", "/play/", "idempotent", to, 2*time.Second, 400*time.Millisecond, 2)}, "board-old", "board-new")
	}
	move(1, "board-old")
	for i, zone := range zones {
		address := store
		if i == 0 {
			address = limitedStore
		}
		d, err := l.newDaemon(i+1, zone, address, nil)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range l.daemons {
		if err := d.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	var mu sync.Mutex
	var answers []answer
	for _, d := range l.daemons {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := l.send(d, "GET", "/play/1", 2*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second) // All machines are in touch.
	began := time.Now()
	if l.trouble {
		l.note("the store refuses the counted calls of %s with 429, %d times %v in a row", l.daemons[0].name, entries, entryLength)
		limited.on.Store(true)
	}
	time.Sleep(1500 * time.Millisecond) // The watch that was open, of 1 s, has ended.
	move(2, "board-new")
	acknowledged := time.Now()
	time.Sleep(time.Until(began.Add(entries * entryLength)))
	limited.on.Store(false)
	l.note("the refusals end")
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	l.note("%d calls of %s were refused, %d that do not count were served", limited.refused.Load(), l.daemons[0].name, limited.passedOn.Load())
	bound := acknowledged.Add(configApply + maxStretch)
	late, stale, served := 0, 0, 0
	for _, a := range answers {
		if a.daemon == l.daemons[0].name || a.status != http.StatusOK {
			continue
		}
		served++
		if a.sent.Before(bound) {
			continue
		}
		late++
		if a.body == "board-old v1\n" {
			stale++
		}
	}
	l.note("of %d requests served by the two other daemons, %d were sent later than %v after the acknowledgement; %d of these ran at the old service",
		served, late, configApply+maxStretch, stale)
	switch {
	case late == 0:
		return fmt.Errorf("no request was served late enough")
	case stale > 0:
		return errBroken
	}
	return nil
}
