//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["grace"] = playGrace }

// fractionalGrace is a grace time with a fraction, in seconds.
const fractionalGrace = 6.5

// playGrace stops three daemons in turn while requests are at searchers, and starts them
// again, with a grace time that is a fraction. Without the disruption nothing is stopped.
func playGrace(l *lab) error {
	store, err := l.serve(l.store.Handler())
	if err != nil {
		return err
	}
	const work = 400 * time.Millisecond
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := l.newSearcher(fmt.Sprintf("i-%d", i), "ledger", "v1", zone, work); err != nil {
			return err
		}
	}
	l.putConfig(1, []map[string]any{route("r1", "/play/", "non_idempotent", "ledger", 3*time.Second, time.Second, 1)}, "ledger")
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		d, err := l.newDaemon(i+1, zone, store, fields{"bounds.grace_s": fmt.Sprint(fractionalGrace)})
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
	time.Sleep(5 * time.Second) // All machines are in touch.
	var mu sync.Mutex
	var lost []answer
	stop, served := make(chan struct{}), 0
	var wg sync.WaitGroup
	const clients = 80
	for i := range clients * len(l.daemons) {
		d := l.daemons[i%len(l.daemons)]
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := l.send(d, "POST", "/play/1", 3*time.Second)
				mu.Lock()
				if a.status == 200 {
					served++
				} else if a.status == 0 {
					lost = append(lost, a)
				}
				mu.Unlock()
				if a.status == 0 {
					return // The client asks for other addresses.
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	terminated := make(map[string]time.Time)
	for _, d := range l.daemons {
		if l.trouble {
			terminated[d.name] = time.Now()
			d.terminate(time.Duration(fractionalGrace * float64(time.Second)))
			if err := d.start(); err != nil {
				return err
			}
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	wg.Wait()
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	ran := make(map[string]bool)
	for _, s := range l.searchers {
		for _, r := range s.began() {
			ran[r.id] = true
		}
	}
	n := 0
	for _, a := range lost {
		if at := terminated[a.daemon]; ran[a.id] && !at.IsZero() {
			n++
			l.note("%s was sent %.3f s before SIGTERM to %s and ran; its connection ended %.3f s after it without an answer: %v",
				a.id, at.Sub(a.sent).Seconds(), a.daemon, a.answered.Sub(at).Seconds(), a.err)
		}
	}
	l.note("%d requests were served; %d that had been passed on to a searcher ended without an answer", served, n)
	if n > 0 {
		return errBroken
	}
	return nil
}
