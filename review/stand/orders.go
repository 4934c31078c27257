//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["orders"] = ordersCase }

// ordersCase: all shards of an index are moved to a new version, one order a shard.
// Then an empty searcher is added to another service. While it is cold it gets more
// requests from all daemons together than it bears.
func ordersCase(w *world) (int, error) {
	const (
		service    = "queue-board"
		shards     = 240
		warmupPerS = 10.0
		overshoot  = 1.5
		slack      = 5.0
		coldFor    = 3 * time.Second
		rounds     = 5
		perSecond  = 400
	)
	bound := warmupPerS*overshoot + slack
	spec := config(7, service, 100, warmupPerS, 0)
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("case-finder-shard-%03d-of-%d", i, shards))
	}
	services := spec["services"].([]map[string]any)
	for _, n := range names {
		services = append(services, map[string]any{"name": n, "health_path": "/healthz", "max_connections": 60, "protocol": "h1", "tls_enabled": false, "warmup_s": 3.0, "warmup_per_s": 0.0})
	}
	spec["services"] = services
	spec["routes"] = append(spec["routes"].([]map[string]any), map[string]any{
		"name": "r-sweep", "host": host, "path_prefix": "/sweep/", "route_class": "idempotent", "timeout_ms": 1200, "target_latency_ms": 200, "priority": 1,
		"gather": names, "max_attempts": 2, "top_k": 10, "min_coverage": 0.95,
	})
	w.store.Put("config", "main", spec)
	for i, n := range names {
		if err := w.addSearcher(newSearcher(fmt.Sprintf("i-a%05d", i), n, w.zones[i%2], w.record, 3, 12, 10*time.Millisecond)); err != nil {
			return unrun, err
		}
	}
	for i := range 3 {
		if err := w.addSearcher(newSearcher(fmt.Sprintf("i-7f3a91c%d", i), service, w.zones[i%2], w.record, 3, 12, 10*time.Millisecond)); err != nil {
			return unrun, err
		}
	}
	if err := w.startDaemons(5); err != nil {
		return unrun, err
	}
	if w.trouble {
		// The searchers of the new version start, and the operator orders the moves.
		for i, n := range names {
			s := newSearcher(fmt.Sprintf("i-b%05d", i), n, w.zones[(i+1)%2], w.record, 3, 12, 10*time.Millisecond)
			s.version = "v2"
			if err := w.addSearcher(s); err != nil {
				return unrun, err
			}
			w.store.Put("rollouts", n, map[string]any{"service": n, "target_version": "v2", "duration_s": 120})
		}
		w.record.add("%d orders", shards)
	}
	time.Sleep(5 * time.Second)
	c := newClients(w)
	if !c.resolve() {
		return unrun, errNoAddress
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	go c.run(ctx, "o", perSecond, 1, 2*time.Second)
	for round := range rounds {
		time.Sleep(5 * time.Second)
		s := newSearcher(fmt.Sprintf("i-c%05d", round), service, w.zones[round%2], w.record, 3, 12, 10*time.Millisecond)
		if err := s.listen(coldFor); err != nil {
			return unrun, err
		}
		w.searchers = append(w.searchers, s)
		w.store.Put("servers", s.id, s.entry(1))
		w.record.add("searcher %s added, cold for %v", s.id, coldFor)
		time.Sleep(coldFor + time.Second)
	}
	cancel()
	c.wg.Wait()
	w.record.mu.Lock()
	most := map[string]int{}
	over := 0
	for key, times := range w.record.cold {
		for i := range times {
			most[key] = max(most[key], within(times[:i+1], times[i], time.Second))
		}
		if float64(most[key]) > bound {
			over++
		}
	}
	counts := map[int]int{}
	for _, a := range w.record.answers {
		counts[a.status]++
	}
	w.record.mu.Unlock()
	return w.verdict(over > 0, "requests by status: %v\nmost requests at a cold searcher within one second: %v, bound %g, exceeded at %d", counts, most, bound, over), nil
}
