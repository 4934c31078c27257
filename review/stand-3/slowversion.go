//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["slowversion"] = playSlowVersion }

const (
	usualWork   = 45 * time.Millisecond
	slowFactor  = 10
	slowTimeout = 400 * time.Millisecond
	// slowPart is the part of the requests, in twentieths, that the bad version answers slowly.
	slowPart = 7
)

// playSlowVersion orders a version that is several times slower than the old one, so that
// it answers no request within its route's timeout. Without the disruption it is as fast.
func playSlowVersion(l *lab) error {
	store, err := l.serve(l.store.Handler())
	if err != nil {
		return err
	}
	l.putConfig(1, []map[string]any{route("r1", "/play/", "idempotent", "ledger", slowTimeout, 150*time.Millisecond, 2)}, "ledger")
	old, err := l.generation("old", "v1")
	if err != nil {
		return err
	}
	for _, s := range old {
		s.setWork(usualWork)
	}
	if err := l.startDaemons(store); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	var mu sync.Mutex
	var answers []answer
	const clients = 24
	for i := range clients * len(l.daemons) {
		d := l.daemons[i%len(l.daemons)]
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				a := l.send(d, "GET", "/play/1", slowTimeout)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second) // All machines are in touch.
	next, err := l.generation("slow", "v2")
	if err != nil {
		return err
	}
	for _, s := range next {
		s.setWork(usualWork)
		if l.trouble {
			s.slow(func(n int) bool { return n*7%20 < slowPart }, slowFactor*usualWork)
		}
	}
	state, at := l.order("v2", old, next)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	all, toNew := l.runsBetween("v2", at, at.Add(orderDuration))
	limit := canaryShare*float64(all) + canarySlack
	before, after := make(map[int]int), make(map[int]int)
	for _, a := range answers {
		switch {
		case a.sent.After(at.Add(orderDuration)):
			after[a.status]++
		case a.sent.Before(at):
			before[a.status]++
		}
	}
	l.note("clients' statuses before the order: %v, after its deadline: %v", before, after)
	l.note("between the order and its deadline v2 got %d of %d requests, %.0f are permitted if it is bad; its last state is %s", toNew, all, limit, state)
	switch {
	case all == 0:
		return fmt.Errorf("no request reached the service")
	case l.trouble && float64(toNew) > limit:
		return errBroken
	case !l.trouble && state != "completed":
		return fmt.Errorf("the good version is %q", state)
	}
	return nil
}
