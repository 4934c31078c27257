//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["tenth"] = playTenth }

// failsOneOf is the number of answers of the bad version of which one is a failure.
const failsOneOf = 10

// playTenth orders a version of whose responses one in ten is a failure; those of the old
// version never are. Without the disruption the new version is as good.
func playTenth(l *lab) error {
	store, err := l.serve(l.store.Handler())
	if err != nil {
		return err
	}
	l.putConfig(1, []map[string]any{route("r1", "/play/", "non_idempotent", "ledger", 2*time.Second, 400*time.Millisecond, 1)}, "ledger")
	old, err := l.generation("old", "v1")
	if err != nil {
		return err
	}
	if err := l.startDaemons(store); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	var mu sync.Mutex
	var answers []answer
	const clients = 6
	for i := range clients * len(l.daemons) {
		d := l.daemons[i%len(l.daemons)]
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := l.send(d, "POST", "/play/1", 2*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second) // All machines are in touch.
	next, err := l.generation("next", "v2")
	if err != nil {
		return err
	}
	for _, s := range next {
		s.mu.Lock()
		if l.trouble {
			s.fails = func(n int) bool { return n%failsOneOf == 0 }
		}
		s.mu.Unlock()
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
