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
}

func (l *lab) newLoad(d time.Duration) *load {
	return &load{lab: l, stop: time.Now().Add(d), sent: make(map[string]int), served: make(map[string]int), wrong: make(map[string]int)}
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
				served := l.send(kind, method, path(n), n, size)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.sent[kind]++
				if served {
					l.served[kind]++
				}
			}()
			time.Sleep(every)
		}
	}()
}

// wait waits until all requests have ended.
func (l *load) wait() { l.wg.Wait() }

// starved reports whether a kind of request was served less than a quarter as often
// as all requests.
func (l *load) starved() (bool, error) {
	sent, served := 0, 0
	for _, kind := range l.kinds {
		sent += l.sent[kind]
		served += l.served[kind]
	}
	if served == 0 {
		return false, errors.New("no request was served")
	}
	all, starved := float64(served)/float64(sent), false
	for _, kind := range l.kinds {
		share := float64(l.served[kind]) / float64(l.sent[kind])
		starved = starved || share < all/4
		l.lab.rec.line("kind %s: %d of %d served, %.3f; all requests %.3f, a quarter of that %.3f", kind, l.served[kind], l.sent[kind], share, all, all/4)
	}
	return starved, nil
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
