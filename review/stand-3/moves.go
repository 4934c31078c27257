//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["moves"] = playMoves }

const (
	orderDuration = 12 * time.Second
	canaryShare   = 0.1
	canarySlack   = 50
)

// order writes an order to move the service ledger, waits for its final state and stops
// the searchers as the platform does. It returns the state and the time of the order.
func (l *lab) order(version string, from, to []*searcher) (state string, at time.Time) {
	l.store.Put("rollouts", "ledger", map[string]any{"service": "ledger", "target_version": version, "duration_s": orderDuration.Seconds()})
	at = time.Now()
	l.note("the store acknowledges the order to move ledger to %s within %v", version, orderDuration)
	stopped := false
	for time.Since(at) < orderDuration+time.Second {
		time.Sleep(20 * time.Millisecond)
		var status struct {
			State   string `json:"state"`
			Version string `json:"target_version"`
		}
		if json.Unmarshal([]byte(l.store.Status("rollouts", "ledger")), &status) != nil || status.Version != version || status.State == state {
			continue
		}
		state = status.State
		l.note("%.2f s after the order its state is %s", time.Since(at).Seconds(), state)
		if state == "completed" && !stopped {
			stopped = true
			for _, s := range from {
				s.stop()
			}
		}
	}
	if state == "rolled_back" {
		for _, s := range to {
			s.register("draining")
		}
	}
	return state, at
}

// generation starts three searchers of a version.
func (l *lab) generation(name, version string) ([]*searcher, error) {
	var all []*searcher
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		s, err := l.newSearcher(fmt.Sprintf("i-%s-%d", name, i), "ledger", version, zone, 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// startDaemons starts three daemons and waits until they are ready.
func (l *lab) startDaemons(store string) error {
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		d, err := l.newDaemon(i+1, zone, store, nil)
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
	return nil
}

// runsBetween counts the requests that began to run in a time, and those at a version.
func (l *lab) runsBetween(version string, from, to time.Time) (all, at int) {
	for _, s := range l.searchers {
		for _, r := range s.began() {
			if r.at.Before(from) || r.at.After(to) {
				continue
			}
			all++
			if s.version == version {
				at++
			}
		}
	}
	return all, at
}

// playMoves orders a bad version v2. Before, with the disruption, the operator has moved
// the service to v2, which was good then, and back to v1.
func playMoves(l *lab) error {
	store, err := l.serve(l.store.Handler())
	if err != nil {
		return err
	}
	l.putConfig(1, []map[string]any{route("r1", "/play/", "non_idempotent", "ledger", 2*time.Second, 400*time.Millisecond, 1)}, "ledger")
	old, err := l.generation("first-v1", "v1")
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
	statuses := make(map[int]int)
	const clients = 4
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
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second) // All machines are in touch.
	if l.trouble {
		for i, version := range []string{"v2", "v1"} {
			next, err := l.generation(fmt.Sprintf("good-%d", i+1), version)
			if err != nil {
				return err
			}
			if state, _ := l.order(version, old, next); state != "completed" {
				return fmt.Errorf("the good version %s is %q after its deadline", version, state)
			}
			old = next
			time.Sleep(2 * time.Second)
		}
	}
	mu.Lock()
	clear(statuses)
	mu.Unlock()
	bad, err := l.generation("bad-v2", "v2")
	if err != nil {
		return err
	}
	for _, s := range bad {
		s.mu.Lock()
		s.fails = func(n int) bool { return n%2 == 0 }
		s.mu.Unlock()
	}
	state, at := l.order("v2", old, bad)
	close(stop)
	wg.Wait()
	all, toBad := l.runsBetween("v2", at, at.Add(orderDuration))
	l.note("clients' statuses: %v", statuses)
	limit := canaryShare*float64(all) + canarySlack
	l.note("between the order and its deadline the bad version got %d of %d requests, %.0f are permitted; its last state is %s", toBad, all, limit, state)
	switch {
	case all == 0:
		return fmt.Errorf("no request reached the service")
	case float64(toBad) > limit:
		return errBroken
	}
	return nil
}
