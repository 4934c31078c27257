//go:build review

package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"medlaryard.example/medlaryard/standin/metastore"
)

func init() { cases["cold"] = coldCase }

// coldCase: the store is down; a searcher crashes and starts again under its ID.
// While it is cold it gets more requests than it bears.
func coldCase(w *world) (int, error) {
	const (
		service    = "queue-board"
		warmupPerS = 4.0
		overshoot  = 1.5
		slack      = 5.0
		coldFor    = 3 * time.Second
		outage     = 4500 * time.Millisecond
		downFor    = 1500 * time.Millisecond
		perSecond  = 200
	)
	bound := warmupPerS*overshoot + slack
	w.store.Put("config", "main", config(7, service, 100, warmupPerS, 0))
	for i := range 4 {
		s := newSearcher("i-7f3a91c"+strconv.Itoa(i), service, w.zones[i%2], w.record, 3, 12, 10*time.Millisecond)
		if err := w.addSearcher(s); err != nil {
			return unrun, err
		}
	}
	if err := w.startDaemons(3); err != nil {
		return unrun, err
	}
	// A searcher writes its entry about every heartbeat_ms, which changes when more
	// than its sequence does, and at its start; a write that fails is repeated.
	storeDown := func() bool { return false }
	register := func(s *searcher) { w.store.Put("servers", s.id, s.entry(1)) }
	c := newClients(w)
	if !c.resolve() {
		return unrun, errNoAddress
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	go c.run(ctx, "c", perSecond, 1, 2*time.Second)
	restart := func(s *searcher) {
		if err := s.listen(coldFor); err != nil {
			w.record.add("searcher %s cannot listen: %v", s.id, err)
			return
		}
		w.record.add("searcher %s starts again under its id, cold for %v", s.id, coldFor)
		for storeDown() {
			time.Sleep(50 * time.Millisecond)
		}
		register(s)
		w.record.add("entry of %s written", s.id)
	}
	for _, s := range w.searchers {
		s.crashRate = int(2 * bound)
		s.onCrash = func(s *searcher) {
			go func() {
				time.Sleep(downFor)
				restart(s)
			}()
		}
	}
	for round := range 3 {
		time.Sleep(5 * time.Second)
		s := w.searchers[round]
		if w.trouble {
			w.store.Inject(metastore.Down())
			until := time.Now().Add(outage)
			storeDown = func() bool { return time.Now().Before(until) }
			time.AfterFunc(outage, func() { w.store.Inject(metastore.Healthy()) })
			w.record.add("the store is down for %v", outage)
		}
		time.Sleep(500 * time.Millisecond)
		w.record.add("searcher %s crashes", s.id)
		s.crash()
		time.Sleep(downFor)
		restart(s)
		time.Sleep(2 * time.Second)
	}
	cancel()
	c.wg.Wait()
	w.record.mu.Lock()
	most, where := 0, ""
	for key, times := range w.record.cold {
		for i := range times {
			if n := within(times[:i+1], times[i], time.Second); n > most {
				most, where = n, key
			}
		}
	}
	counts := map[int]int{}
	for _, a := range w.record.answers {
		counts[a.status]++
	}
	w.record.mu.Unlock()
	return w.verdict(float64(most) > bound, "requests by status: %v\nmost requests at a cold searcher within one second: %d (%s), bound %g",
		counts, most, fmt.Sprint(where), bound), nil
}
