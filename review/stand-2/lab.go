package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"medlaryard.example/medlaryard/standin/metastore"
)

// storePageSize is the number of objects in one page of the store's lists.
const storePageSize = 50

// lab is a small deployment on loopback addresses: the platform's store, servers
// and daemons. Each machine has an address of its own; ports are the same on all
// machines of one kind.
type lab struct {
	rec     *record
	dir     string // Temporary folder with settings and logs.
	prefix  string // First three bytes of the addresses.
	ports   map[string]int
	store   *metastore.Store
	address string // Of the store.
	daemons []*daemon
	web     *http.Server
	lists   listObserver
}

// listObserver tells when a machine begins to list the servers.
type listObserver struct{ begun chan struct{} }

// observeLists returns the observer of the store's lists.
func (l *lab) observeLists() listObserver { return l.lists }

// next waits until a machine begins a list.
func (o listObserver) next() {
	select {
	case <-o.begun: // One that began earlier.
	default:
	}
	<-o.begun
}

// watchLists notes the first page of each list of servers that next handles.
func (o listObserver) watchLists(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if q := r.URL.Query(); r.URL.Path == "/api/objects/"+kindServers && !q.Has("watch") && !q.Has("after") {
			select {
			case o.begun <- struct{}{}:
			default: // Nobody waits.
			}
		}
		next.ServeHTTP(w, r)
	})
}

// listeners are the names of a daemon's listeners in its settings.
var listeners = []string{"callers", "ready", "directory", "operators", "peers"}

const storeHost = 250

// newLab starts an empty store. Close ends everything that the lab started.
func newLab(rec *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	l := &lab{rec: rec, dir: dir, ports: make(map[string]int), store: metastore.New(storePageSize), lists: listObserver{make(chan struct{}, 1)}}
	l.prefix = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
	if err := l.choosePorts(); err != nil {
		return nil, errors.Join(err, l.close())
	}
	nl, err := net.Listen("tcp4", l.host(storeHost)+":0")
	if err != nil {
		return nil, errors.Join(err, l.close())
	}
	l.address = nl.Addr().String()
	go l.closeOnSignal()
	l.web = &http.Server{Handler: l.lists.watchLists(l.store.Handler())}
	go func() { _ = l.web.Serve(nl) }() // Returns when close ends it.
	return l, nil
}

// closeOnSignal ends everything that the lab started when the case is interrupted.
func (l *lab) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	_ = l.close() // The case has no result in any case.
	os.Exit(unknown)
}

// choosePorts chooses a port for each listener of the daemons, all of them different.
func (l *lab) choosePorts() error {
	taken := make(map[int]bool)
	for _, name := range listeners {
		for {
			port, err := freePort(l.host(1))
			if err != nil {
				return err
			}
			if !taken[port] {
				taken[port], l.ports[name] = true, port
				break
			}
		}
	}
	return nil
}

// freePort returns a port that is free for TCP and UDP at ip.
func freePort(ip string) (int, error) {
	for range 100 {
		t, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return 0, err
		}
		port := t.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
		if err := t.Close(); err != nil {
			return 0, err
		}
		if err == nil {
			return port, u.Close()
		}
	}
	return 0, errors.New("no port is free for TCP and UDP")
}

// host returns the address of machine n.
func (l *lab) host(n int) string { return fmt.Sprintf("%s.%d", l.prefix, n) }

// daemon is one process of the system under test.
type daemon struct {
	name    string
	callers string
	ready   string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// zone returns the zone of machine n.
func zone(n int) string { return []string{"z-a", "z-b", "z-c"}[n%3] }

const grace = 6 * time.Second

// settings returns the settings of daemon n of count, as the template of the deploy
// file yields them.
func (l *lab) settings(n, count int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: \"edge-%d\"\nzone: %q\nregion: \"r-1\"\nzones:\n  \"z-a\": \"r-1\"\n  \"z-b\": \"r-1\"\n  \"z-c\": \"r-1\"\nlisten:\n", n, zone(n))
	for _, name := range listeners {
		fmt.Fprintf(&b, "  %s: \"%s:%d\"\n", name, l.host(n), l.ports[name])
	}
	var seeds []string
	for i := 1; i <= min(count, 3); i++ {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", l.host(i), l.ports["operators"]))
	}
	fmt.Fprintf(&b, "peers: [%s]\ncapacity: 0.4\nmemory_mb: 284\nmax_fds: 4100\nstore:\n  address: %q\n", strings.Join(seeds, ","), l.address)
	fmt.Fprintf(&b, "shutdown_ms: %d\nextra_sends:\n  ratio: 0.2\n  slack: 54\naddress_ttl_ms: 2500\ncold_targets:\n  overshoot: 1.5\n  slack: 5\n", grace.Milliseconds())
	return b.String()
}

// startDaemons starts count daemons and waits until all are ready.
func (l *lab) startDaemons(count int) error {
	for n := 1; n <= count; n++ {
		if err := l.startDaemon(n, count); err != nil {
			return err
		}
	}
	for _, d := range l.daemons {
		if !d.waitReady(15 * time.Second) {
			text, _ := os.ReadFile(filepath.Join(l.dir, d.name+".log")) // What there is of it.
			return fmt.Errorf("%s is not ready, it runs: %t, its log: %s", d.name, d.alive(), text[max(0, len(text)-1000):])
		}
	}
	return nil
}

func (l *lab) startDaemon(n, count int) error {
	d := &daemon{
		name: fmt.Sprintf("edge-%d", n), exited: make(chan struct{}),
		callers: fmt.Sprintf("%s:%d", l.host(n), l.ports["callers"]),
		ready:   fmt.Sprintf("%s:%d", l.host(n), l.ports["ready"]),
	}
	path := filepath.Join(l.dir, d.name+".yaml")
	if err := os.WriteFile(path, []byte(l.settings(n, count)), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(l.dir, d.name+".log"))
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/medlaryard", "node")
	d.cmd.Env = append(os.Environ(), "MEDLARYARD_BOOT="+path)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	err = d.cmd.Start()
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	l.rec.line("daemon %s started, process %d, callers at %s", d.name, d.cmd.Process.Pid, d.callers)
	go func() {
		_ = d.cmd.Wait() // The end is seen by exited.
		close(d.exited)
	}()
	l.daemons = append(l.daemons, d)
	return nil
}

// alive reports whether the process runs.
func (d *daemon) alive() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

func (d *daemon) waitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // The status is enough.
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// close ends all processes of the lab and removes its folder.
func (l *lab) close() error {
	for _, d := range l.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGKILL) // Fails if it has ended.
		<-d.exited
	}
	if l.web != nil {
		_ = l.web.Close() // Nothing uses it any more.
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept", l.dir)
		return nil
	}
	return os.RemoveAll(l.dir)
}
