package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// stabilityWindow is stability_window_ms of the sheets, and a little more.
const stabilityWindow = 5 * time.Second

// settleTime is how long after the last event steady state begins. It is more than
// the stability window and catch_up_s of the sheets together.
const settleTime = 10 * time.Second

// loadDeadline is how long the clients of a load wait.
const loadDeadline = 5 * time.Second

// load sends requests of some kinds to all daemons at a steady rate, whatever the
// answers are.
type load struct {
	lab  *lab
	stop time.Time
	wg   sync.WaitGroup

	mu     sync.Mutex
	kinds  []string
	sent   map[string]int
	served map[string]int
	wrong  map[string]int // Successes whose body is not that of the server.
	steady bool           // Whether the system is in steady state again.
	after  map[string]int // Requests sent in steady state,
	good   map[string]int // and those of them that were served.
}

func (l *lab) newLoad(d time.Duration) *load {
	return &load{lab: l, stop: time.Now().Add(d), sent: make(map[string]int), served: make(map[string]int), wrong: make(map[string]int), after: make(map[string]int), good: make(map[string]int)}
}

// ownPath returns a path that no other request has.
func ownPath(n int) string { return fmt.Sprintf("/read/%x", n) }

// add starts the requests of one kind, each with a body of the given size.
func (l *load) add(kind, method string, path func(n int) string, size int, every time.Duration) {
	l.kinds = append(l.kinds, kind)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for n := 0; time.Now().Before(l.stop); n++ {
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				steady := l.isSteady()
				served := l.send(kind, method, path(n), n, size)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.sent[kind]++
				if steady {
					l.after[kind]++
				}
				if served {
					l.served[kind]++
				}
				if served && steady {
					l.good[kind]++
				}
			}()
			time.Sleep(every)
		}
	}()
}

// wait waits until all requests have ended.
func (l *load) wait() { l.wg.Wait() }

// settled notes that the system is in steady state from now on.
func (l *load) settled() {
	l.lab.rec.line("steady state from now on")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steady = true
}

func (l *load) isSteady() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.steady
}

// laterServedLess reports whether, in steady state, the requests on a route that was
// added later are served less than a quarter as often as those on a first route.
func (l *load) laterServedLess(first, later string) (bool, error) {
	for _, kind := range l.kinds {
		l.lab.rec.line("kind %s: %d of %d served in all", kind, l.served[kind], l.sent[kind])
	}
	if l.good[first] == 0 || l.after[later] < minRequests {
		return false, errors.New("too few requests were sent or served in steady state")
	}
	share := func(kind string) float64 { return float64(l.good[kind]) / float64(l.after[kind]) }
	l.lab.rec.line("steady state: first route %d of %d served, route that was added later %d of %d; the rule asks for a quarter of %.3f, seen is %.3f",
		l.good[first], l.after[first], l.good[later], l.after[later], share(first), share(later))
	return share(later) < share(first)/4, nil
}

// send sends one request like a client with one retry and reports whether it was
// served.
func (l *load) send(kind, method, path string, n, size int) bool {
	payload := bytes.Repeat([]byte("x"), size)
	end := time.Now().Add(loadDeadline)
	first := rand.IntN(len(l.lab.daemons))
	for try := range 2 {
		id := fmt.Sprintf("%s-%d-%d", kind, n, try)
		d := l.lab.daemons[(first+try)%len(l.lab.daemons)]
		status, after, err := d.exchange(id, method, path, payload, time.Until(end))
		l.lab.rec.line("client: %s %s to %s: status %d, retry after %v, error %v", id, path, d.name, status, after, err)
		if errors.Is(err, errWrongBody) {
			l.mu.Lock()
			l.wrong[kind]++
			l.mu.Unlock()
		}
		if status == http.StatusOK {
			return err == nil
		}
		time.Sleep(min(after, time.Until(end)/3))
	}
	return false
}

// errWrongBody is the error of a success whose body is not that of the server.
var errWrongBody = errors.New("the body is not that of the server")

// exchange sends one request over a connection of its own.
func (d *daemon) exchange(id, method, path string, payload []byte, left time.Duration) (status int, after time.Duration, err error) {
	client := &http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequest(method, "http://"+d.callers+path, bytes.NewReader(payload))
	if err != nil {
		return 0, 0, err
	}
	req.Host = hostName
	req.Header.Set(headerID, id)
	req.Header.Set(headerDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0, err
	}
	if resp.StatusCode == http.StatusOK && !bytes.Equal(got, body(id, len(got))) {
		return resp.StatusCode, 0, fmt.Errorf("%w: %d bytes, %.40q", errWrongBody, len(got), got)
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if there is none.
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}
