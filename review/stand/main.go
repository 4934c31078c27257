//go:build review

// Command stand plays the cases of the review: it starts daemons as separate
// processes, with stand-ins for the store, the searchers and the clients.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"medlaryard.example/medlaryard/standin/metastore"
)

const host = "songs.example"

// world holds the processes and stand-ins of one case.
type world struct {
	record    *record
	store     *metastore.Store
	server    *http.Server
	storeAddr string
	daemons   []*daemon
	searchers []*searcher
	zones     []string
	dir       string
	trouble   bool
}

// exit codes of a case.
const (
	held   = 0
	broken = 1
	unrun  = 2
)

// cases are the cases by name. Each registers itself.
var cases = map[string]func(*world) (int, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("daemon", "", "path of the daemon's program")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(unrun)
	}
	os.Exit(play(run, *binary, *path))
}

func play(run func(*world) (int, error), binary, path string) int {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return unrun
	}
	if _, err := os.Stat(binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "medlaryard-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{record: r, dir: dir, store: metastore.New(500), zones: []string{"za", "zb"}, trouble: os.Getenv("TROUBLE") != "0"}
	r.add("trouble=%v", w.trouble)
	defer w.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		w.end()
		_ = os.RemoveAll(dir)
		os.Exit(unrun)
	}()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	w.storeAddr = l.Addr().String()
	w.server = &http.Server{Handler: w.store.Handler()}
	go func() { _ = w.server.Serve(l) }()
	code, err := run(withBinary(w, binary))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		r.add("the case could not run: %v", err)
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			w.keepLogs(keep)
		}
		return unrun
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		w.keepLogs(keep)
	}
	return code
}

var daemonBinary string

func withBinary(w *world, binary string) *world {
	daemonBinary = binary
	return w
}

func (w *world) keepLogs(dir string) {
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*"))
	for _, l := range logs {
		if b, err := os.ReadFile(l); err == nil {
			_ = os.WriteFile(filepath.Join(dir, filepath.Base(l)), b, 0o600)
		}
	}
}

// end ends all processes and stand-ins.
func (w *world) end() {
	for _, d := range w.daemons {
		d.end()
	}
	for _, s := range w.searchers {
		s.crash()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}

// addSearcher starts a searcher and writes its entry to the store.
func (w *world) addSearcher(s *searcher) error {
	if err := s.listen(0); err != nil {
		return err
	}
	w.searchers = append(w.searchers, s)
	w.store.Put("servers", s.id, s.entry(1))
	return nil
}

// startDaemons starts n daemons and waits until all are ready and named.
func (w *world) startDaemons(n int) error {
	var err error
	if w.daemons, err = newDaemons(n, daemonBinary, w.dir, w.storeAddr, w.zones, ""); err != nil {
		return err
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, d := range w.daemons {
		for {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/api/readyz", d.ip, d.ports[1]))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("daemon %s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // All machines are in touch.
	return nil
}

// verdict prints and records the result of a case.
func (w *world) verdict(isBroken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	code, word := held, "held"
	if isBroken {
		code, word = broken, "broken"
	}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		w.record.add("result: %s", line)
		fmt.Println(line)
	}
	w.record.add("result: %s", word)
	fmt.Println(word)
	return code
}

// config returns a configuration with one route for requests that may run once
// (/play/) and one for idempotent ones (/find/), and the given further routes.
func config(version int, service string, maxConnections int, warmupPerS float64, routes int) map[string]any {
	list := []map[string]any{
		{"name": "r-play", "host": host, "path_prefix": "/play/", "route_class": "non_idempotent", "timeout_ms": 6000, "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2},
		{"name": "r-find", "host": host, "path_prefix": "/find/", "route_class": "idempotent", "timeout_ms": 6000, "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2},
	}
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%07d", i), "host": fmt.Sprintf("catalogue%04d.example", i), "path_prefix": fmt.Sprintf("/part%04d/songs/", i), "route_class": "idempotent",
			"timeout_ms": 1500 + version%7, "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2,
		})
	}
	return map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_connections": maxConnections, "protocol": "h1", "tls_enabled": false, "warmup_s": 3.0, "warmup_per_s": warmupPerS}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
