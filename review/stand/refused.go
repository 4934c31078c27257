//go:build review

package main

import (
	"context"
	"sort"
	"time"
)

func init() { cases["refused"] = refusedCase }

// refusedCase: two busy searchers of one service, one of which sends 3% of its
// answers a second time, late. A request that may run once is answered 503 and has
// run.
func refusedCase(w *world) (int, error) {
	const (
		service     = "queue-board"
		length      = 95 * time.Second
		repeatShare = 0.04
		repeatFor   = 5 * time.Second // Of each spell.
		repeatEvery = 5500 * time.Millisecond
	)
	w.store.Put("config", "main", config(7, service, 100, 0, 0))
	for i, id := range []string{"i-7f3a91c2", "i-02d9e6b4"} {
		s := newSearcher(id, service, w.zones[i], w.record, 2, 2, 2*time.Millisecond)
		if i == 0 && w.trouble {
			began := time.Now()
			s.repeatShare = func() float64 {
				if time.Since(began)%repeatEvery < repeatFor {
					return repeatShare
				}
				return 0
			}
		}
		if err := w.addSearcher(s); err != nil {
			return unrun, err
		}
	}
	if err := w.startDaemons(4); err != nil {
		return unrun, err
	}
	c := newClients(w)
	if !c.resolve() {
		return unrun, errNoAddress
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	c.run(ctx, "p", 1200, 1, 6*time.Second)
	time.Sleep(3 * time.Second)
	w.record.mu.Lock()
	var wrong, twice []string
	counts := map[int]int{}
	for id, a := range w.record.answers {
		counts[a.status]++
		if (a.status == 503 || a.status == 429) && len(w.record.runs[id]) > 0 {
			wrong = append(wrong, id)
		}
		if len(w.record.runs[id]) > 1 {
			twice = append(twice, id)
		}
	}
	w.record.mu.Unlock()
	sort.Strings(wrong)
	sort.Strings(twice)
	return w.verdict(len(wrong)+len(twice) > 0, "requests that may run once, by status: %v; late second answers: %d\nanswered 429 or 503 and run: %d %v\nrun more than once: %d %v",
		counts, w.searchers[0].repeated, len(wrong), wrong, len(twice), twice), nil
}
