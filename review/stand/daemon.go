//go:build review

package main

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is a process that runs the command of the deploy file,
// "target/medlaryard node", with settings like deploy/settings.yaml.
type daemon struct {
	name, ip string
	ports    [5]int // Callers, ready, directory, operators, peers.
	dir      string
	binary   string
	zone     string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	held    bool // The machine has no power; the process is not started.
}

func (d *daemon) callers() string { return fmt.Sprintf("%s:%d", d.ip, d.ports[0]) }

func (d *daemon) directory() string { return fmt.Sprintf("%s:%d", d.ip, d.ports[2]) }

// newDaemons prepares n daemons on loopback addresses of their own, with the same
// free ports. They are spread over the zones.
func newDaemons(n int, binary, dir, store string, zones []string, extra string) ([]*daemon, error) {
	r := rand.New(rand.NewSource(time.Now().UnixNano()))
	var daemons []*daemon
	var ports [5]int
	for try := 0; ; try++ {
		if try == 50 {
			return nil, fmt.Errorf("no free ports")
		}
		base, free := 20000+r.Intn(10000), true
		for i := range ports {
			ports[i] = base + i
			for d := range n {
				l, err := net.Listen("tcp4", fmt.Sprintf("127.0.1.%d:%d", d+1, ports[i]))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			break
		}
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf(`"127.0.1.%d:%d"`, i+1, ports[3]))
	}
	var zoneLines strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&zoneLines, "  %q: \"r\"\n", z)
	}
	for i := range n {
		d := &daemon{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("127.0.1.%d", i+1), ports: ports, dir: dir, binary: binary, zone: zones[i%len(zones)]}
		text := fmt.Sprintf(`name: "%s"
zone: "%s"
region: "r"
zones:
%slisten:
  callers: "%[4]s:%[5]d"
  ready: "%[4]s:%[6]d"
  directory: "%[4]s:%[7]d"
  operators: "%[4]s:%[8]d"
  peers: "%[4]s:%[9]d"
peers: [%[10]s]
capacity: 0.4
store:
  address: "%[11]s"
shutdown_ms: 6000
extra_sends:
  ratio: 0.2
  slack: 54
address_ttl_ms: 2500
cold_targets:
  overshoot: 1.5
  slack: 5
%[12]s`, d.name, zones[i%len(zones)], zoneLines.String(), d.ip, ports[0], ports[1], ports[2], ports[3], ports[4], strings.Join(seeds, ","), store, extra)
		if err := os.WriteFile(d.settings(), []byte(text), 0o600); err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
	}
	return daemons, nil
}

func (d *daemon) settings() string { return filepath.Join(d.dir, d.name+".yaml") }

// start starts the process. It is started again a second after it has ended, until
// end is called.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.held {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.binary, "node")
	cmd.Env = []string{"MEDLARYARD_BOOT=" + d.settings(), "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
		time.Sleep(time.Second)
		d.mu.Lock()
		current := d.exited == exited
		d.mu.Unlock()
		if current {
			_ = d.start()
		}
	}()
	return nil
}

// hold sets whether the machine is without power. When it gets power again, its
// process starts at once.
func (d *daemon) hold(held bool) {
	d.mu.Lock()
	d.held = held
	d.mu.Unlock()
	if !held {
		_ = d.start()
	}
}

func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// end kills the process for good.
func (d *daemon) end() {
	d.mu.Lock()
	d.stopped = true
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	}
}
