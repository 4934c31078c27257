//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

func init() { cases["version"] = versionCase }

// versionCase: the operator orders a move to a version that fails all requests of one
// route, which has a small part of the service's traffic.
func versionCase(w *world) (int, error) {
	const (
		service     = "queue-board"
		searchers   = 7
		duration    = 20 * time.Second
		perSecond   = 100
		findShare   = 0.06 // The share of the route that the version fails.
		canaryShare = 0.1
		canarySlack = 50
	)
	w.store.Put("config", "main", config(7, service, 100, 0, 0))
	for i := range searchers {
		if err := w.addSearcher(newSearcher(fmt.Sprintf("i-a%05d", i), service, w.zones[i%2], w.record, 3, 12, 30*time.Millisecond)); err != nil {
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
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	go c.run(ctx, "v", perSecond, 1-findShare, 6*time.Second)
	time.Sleep(5 * time.Second)
	old := w.searchers
	for i := range searchers {
		s := newSearcher(fmt.Sprintf("i-b%05d", i), service, w.zones[i%2], w.record, 3, 12, 30*time.Millisecond)
		s.version = "v2"
		if w.trouble {
			s.fails = func(path string) bool { return strings.HasPrefix(path, "/find/") }
		}
		if err := s.listen(0); err != nil {
			return unrun, err
		}
		w.searchers = append(w.searchers, s)
	}
	// The order is written before the entries of the new searchers, so that no daemon
	// can miss it.
	ordered := time.Now()
	w.store.Put("rollouts", service, map[string]any{"service": service, "target_version": "v2", "duration_s": duration.Seconds()})
	w.record.add("order: %s to v2 within %v", service, duration)
	for _, s := range w.searchers[len(old):] {
		w.store.Put("servers", s.id, s.entry(1))
	}
	state, completed := "", time.Time{}
	for time.Since(ordered) < duration+10*time.Second {
		time.Sleep(10 * time.Millisecond)
		status := w.store.Status("rollouts", service)
		switch {
		case state == "" && strings.Contains(status, `"completed"`):
			state, completed = "completed", time.Now()
			w.record.add("state: completed; the old searchers stop")
			for _, s := range old {
				s.crash()
				w.store.Delete("servers", s.id)
			}
		case state == "" && strings.Contains(status, `"rolled_back"`):
			state = "rolled_back"
			w.record.add("state: rolled_back")
			for _, s := range w.searchers[len(old):] {
				entry := s.entry(2)
				entry["state"] = "draining"
				time.AfterFunc(3*time.Second, func() { w.store.Put("servers", s.id, entry) })
			}
		}
	}
	cancel()
	c.wg.Wait()
	w.record.mu.Lock()
	all, bad := 0, 0
	for id, at := range w.record.ranAt {
		if at.Before(ordered) || at.After(ordered.Add(duration)) {
			continue
		}
		all++
		for _, s := range w.record.runs[id] {
			if strings.HasPrefix(s, "i-b") {
				bad++
				break
			}
		}
	}
	find, findFailed := 0, 0
	for _, a := range w.record.answers {
		if !a.post && !completed.IsZero() && a.at.After(completed.Add(time.Second)) {
			find++
			if a.status != 200 {
				findFailed++
			}
		}
	}
	w.record.mu.Unlock()
	bound := canaryShare*float64(all) + canarySlack
	return w.verdict(w.trouble && float64(bad) > bound,
		"state: %q after %.1f s\nrequests that reached the service between the order and its deadline: %d, of these the new version: %d, bound %.0f\nrequests of the route from a second after completion on: %d, failed: %d",
		state, max(completed.Sub(ordered), 0).Seconds(), all, bad, bound, find, findFailed), nil
}
