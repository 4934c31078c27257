//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"medlaryard.example/medlaryard/standin/metastore"
)

// lab holds the processes, stand-ins and the record of one case.
type lab struct {
	trouble bool
	dir     string // Temporary files.
	store   *metastore.Store

	mu     sync.Mutex
	began  time.Time
	record *os.File

	daemons []*daemon
	servers []*http.Server

	searchers []*searcher
}

func newLab(record string, trouble bool) (*lab, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: trouble, dir: dir, store: metastore.New(500, metastore.WithoutEras()), began: time.Now(), record: f}
	l.note("disruption: %v", trouble)
	return l, nil
}

// note writes one line to the record, with the time since the start.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.record.WriteString(line) // A record that is lost shows in its absence.
	if !strings.HasPrefix(format, "  ") {
		fmt.Print(line)
	}
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (l *lab) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	l.servers = append(l.servers, s)
	go func() { _ = s.Serve(listener) }() // Ends when the case does.
	return listener.Addr().String(), nil
}

// close ends all processes and servers that the case started.
func (l *lab) close() {
	for _, d := range l.daemons {
		d.kill()
	}
	for _, s := range l.servers {
		_ = s.Close() // The process ends now.
	}
	_ = os.RemoveAll(l.dir) // Temporary files only.
	_ = l.record.Close()    // Written line by line.
}

// daemon is one process of the deploy file's role.
type daemon struct {
	lab      *lab
	name     string
	fields   fields
	callers  string
	ready    string
	settings string
	process  *exec.Cmd
	exited   chan struct{}
}

// deployRun is the command of the role in deploy/system.toml.
var deployRun = []string{"target/medlaryard", "node"}

// template is the settings template that deploy/system.toml names.
const template = "deploy/settings.yaml"

// newDaemon prepares a daemon in a zone whose store has the given address. Bounds are
// those of kit/more/system/DEPLOY.md, unless others are given.
func (l *lab) newDaemon(index int, zone, store string, bounds fields) (*daemon, error) {
	ip := fmt.Sprintf("127.0.0.%d", 10+index)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	peer, err := l.peerPort()
	if err != nil {
		return nil, err
	}
	control := fmt.Sprintf("%s:%d", ip, ports[3])
	f := fields{
		"node_name": fmt.Sprintf("edge-%s-%d", zone, index), "ip": ip, "zone": zone, "region": "r1",
		"zones":                  fields{"zone-a": "r1", "zone-b": "r1", "zone-c": "r1"},
		"listen_addrs.front":     fmt.Sprintf("%s:%d", ip, ports[0]),
		"listen_addrs.ready":     fmt.Sprintf("%s:%d", ip, ports[1]),
		"listen_addrs.directory": fmt.Sprintf("%s:%d", ip, ports[2]),
		"listen_addrs.control":   control,
		"internal_port_range":    list{fmt.Sprint(peer), fmt.Sprint(peer + 15)},
		"seeds":                  list{"127.0.0.11:7000"}, // Only the address counts; the daemons use the peer port.
		"limits.cpu_share":       "0.4", "limits.memory_mb": "284", "limits.max_fds": "4100",
		"platform.address": store, "bounds.grace_s": "6",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "54",
		"bounds.warmup_overshoot": "1.5", "bounds.warmup_slack": "5",
	}
	for k, v := range bounds {
		f[k] = v
	}
	d := &daemon{
		lab: l, name: f["node_name"].(string), fields: f, callers: f["listen_addrs.front"].(string), ready: f["listen_addrs.ready"].(string),
		settings: filepath.Join(l.dir, fmt.Sprintf("boot-%d.conf", index)),
	}
	l.daemons = append(l.daemons, d)
	return d, nil
}

var peerPorts struct {
	sync.Mutex
	port int
}

// peerPort returns the port that all daemons use for one another.
func (l *lab) peerPort() (int, error) {
	peerPorts.Lock()
	defer peerPorts.Unlock()
	if peerPorts.port == 0 {
		ports, err := freePorts("127.0.0.11", 1)
		if err != nil {
			return 0, err
		}
		peerPorts.port = ports[0]
	}
	return peerPorts.port, nil
}

// freePorts returns n ports of an address that are free now.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start writes the settings and starts the process.
func (d *daemon) start() error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	rendered, err := render(string(text), d.fields)
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.settings, []byte(rendered), 0o600); err != nil {
		return err
	}
	out, err := os.Create(d.settings + ".log")
	if err != nil {
		return err
	}
	defer out.Close()
	p := exec.Command(deployRun[0], deployRun[1:]...)
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MEDLARYARD_BOOT=" + d.settings}
	p.Stdout, p.Stderr = out, out
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	d.process, d.exited = p, make(chan struct{})
	go func(done chan struct{}) {
		_ = p.Wait() // The exit shows in the record.
		close(done)
	}(d.exited)
	d.lab.note("%s starts, callers at %s", d.name, d.callers)
	return nil
}

// terminate sends SIGTERM, and SIGKILL after the grace time unless the process has ended.
func (d *daemon) terminate(grace time.Duration) {
	d.lab.note("SIGTERM to %s", d.name)
	_ = d.process.Process.Signal(syscall.SIGTERM) // It may have ended, which shows below.
	select {
	case <-d.exited:
		d.lab.note("%s has ended", d.name)
	case <-time.After(grace):
		d.kill()
		d.lab.note("SIGKILL to %s", d.name)
	}
}

func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Kill() // It may have ended.
	<-d.exited
}

// log returns what the process has logged.
func (d *daemon) log() string {
	b, _ := os.ReadFile(d.settings + ".log") // Used in the record only.
	return string(b)
}

// waitReady waits until the daemon says that it is ready.
func (d *daemon) waitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + d.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // No body is expected.
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v: %s", d.name, limit, d.log())
}
