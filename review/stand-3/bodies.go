//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

func init() { cases["bodies"] = playBodies }

const (
	largeBody  = 64 << 10
	smallBody  = 4 << 10
	burstEvery = 3 * time.Second // Clients of one machine send their requests together.
	burstSize  = 40
	uploads    = 40
	uploadGap  = 1500 * time.Millisecond
)

// upload sends one request with a body as a client does: to a machine picked at random,
// and once more after a failure, when Retry-After says so. It returns both attempts.
func (l *lab) upload(body []byte) []answer {
	var attempts []answer
	for len(attempts) < 2 {
		a := l.sendBody(l.daemons[rand.N(len(l.daemons))], "POST", "/upload/1", 3*time.Second, body)
		attempts = append(attempts, a)
		if a.status == 200 {
			break
		}
		time.Sleep(a.retryAfter)
	}
	return attempts
}

// playBodies adds a route whose requests may be repeated and have a body of 64 KB, on
// seven machines whose clients also send small requests on the first route. Without the
// disruption the bodies have 4 KB.
func playBodies(l *lab) error {
	store, err := l.serve(l.store.Handler())
	if err != nil {
		return err
	}
	for i := range 9 {
		if _, err := l.newSearcher(fmt.Sprintf("i-%d", i), "report-desk", "v1", "zone-a", 100*time.Millisecond); err != nil {
			return err
		}
	}
	first := route("r1", "/play/", "idempotent", "report-desk", 2*time.Second, 400*time.Millisecond, 2)
	l.putConfig(1, []map[string]any{first}, "report-desk")
	for i := range 7 {
		d, err := l.newDaemon(i+1, []string{"zone-a", "zone-b", "zone-c"}[i%3], store, nil)
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
	var small []answer
	for _, d := range l.daemons {
		wg.Go(func() {
			time.Sleep(rand.N(burstEvery))
			for {
				for range burstSize {
					wg.Go(func() {
						a := l.send(d, "GET", "/play/1", 2*time.Second)
						mu.Lock()
						small = append(small, a)
						mu.Unlock()
					})
				}
				select {
				case <-stop:
					return
				case <-time.After(burstEvery):
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	l.putConfig(2, []map[string]any{first, route("r2", "/upload/", "idempotent", "report-desk", 3*time.Second, 400*time.Millisecond, 2)}, "report-desk")
	time.Sleep(6 * time.Second) // The route is due everywhere.
	size := smallBody
	if l.trouble {
		size = largeBody
	}
	body := bytes.Repeat([]byte("x"), size)
	began := time.Now()
	var attempts []answer
	served := 0
	var ups sync.WaitGroup
	for range uploads {
		ups.Go(func() {
			as := l.upload(body)
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, as...)
			if as[len(as)-1].status == 200 {
				served++
			}
		})
		time.Sleep(uploadGap)
	}
	ups.Wait()
	close(stop)
	wg.Wait()
	firstAll, firstServed, laterServed := 0, 0, 0
	for _, a := range small {
		if a.sent.After(began) {
			firstAll++
			if a.status == 200 {
				firstServed++
			}
		}
	}
	statuses := make(map[string]int)
	for _, a := range attempts {
		statuses[strconv.Itoa(a.status)]++
		if a.status == 200 {
			laterServed++
		}
	}
	if firstAll == 0 || firstServed == 0 || len(attempts) < 20 {
		return errors.New("too few requests were served or sent")
	}
	l.note("served on the first route: %d of %d requests; on the later route, with bodies of %d bytes: %d of %d (%v), so %d of %d clients were served",
		firstServed, firstAll, size, laterServed, len(attempts), statuses, served, uploads)
	if 4*laterServed*firstAll < firstServed*len(attempts) {
		return errBroken
	}
	return nil
}
