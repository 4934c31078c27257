//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	id       string
	daemon   string
	status   int    // 0 if the connection ended without a complete answer.
	body     string // Of a complete answer.
	sent     time.Time
	answered time.Time
	err      error

	retryAfter time.Duration
}

var requests atomic.Int64

// host is the host of all routes.
const host = "host.example"

// client sends requests on kept connections.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// send sends one attempt to a daemon and waits for its answer.
func (l *lab) send(d *daemon, method, path string, deadline time.Duration) answer {
	return l.sendBody(d, method, path, deadline, nil)
}

// sendBody sends an attempt with a body.
func (l *lab) sendBody(d *daemon, method, path string, deadline time.Duration, body []byte) answer {
	a := answer{id: fmt.Sprintf("q%08x", requests.Add(1)), daemon: d.name, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+d.callers+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Medlaryard-Request-Id", a.id)
	req.Header.Set("X-Medlaryard-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // Read completely, or broken.
		if err == nil {
			a.status, a.body = resp.StatusCode, string(body)
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if there is none.
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	a.err, a.answered = err, time.Now()
	l.note("  %s %s to %s, sent %.3f: %d %.20q %v", a.id, path, d.name, a.sent.Sub(l.began).Seconds(), a.status, a.body, a.err)
	return a
}

// route returns a route of the operator's configuration.
func route(name, prefix, class, service string, timeout, aim time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "route_class": class, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": aim.Milliseconds(), "priority": 1, "service": service, "max_attempts": attempts,
	}
}

// putConfig writes a configuration; the store's answer is its acknowledgement.
func (l *lab) putConfig(version int, routes []map[string]any, services ...string) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "max_connections": 100, "health_path": "/healthz", "warmup_s": 3, "warmup_per_s": 1000})
	}
	l.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	l.note("the store acknowledges configuration %d", version)
}
