package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a daemon process that is restarted whenever it exits, until stop.
type process struct {
	name         string
	ip           string
	binary       string
	settingsFile string
	logFile      string
	storeProxy   *proxy

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	stopped      bool
	paused       bool
	endRequested bool
	violations   []string // Unexpected exits, failed restarts and exceeded shutdown timeouts.
}

const (
	callersPort   = 28104
	readyPort     = 28108
	directoryPort = 28100
	operatorsPort = 28106
	peersPort     = 27380
	// shutdownTimeout is the time in which a daemon must exit after SIGTERM.
	shutdownTimeout = 3 * time.Second
	// restartDelay is the time from the exit of a process to its restart.
	restartDelay = 200 * time.Millisecond
)

// writeSettings writes the settings file of a daemon to dir. seeds is the list of
// the peers' addresses in YAML.
func (p *process) writeSettings(dir, seeds string) error {
	text := fmt.Sprintf(`name: "%s"
zone: a
region: r
zones: {a: r, b: r}
listen:
  callers: "%[2]s:%[3]d"
  ready: "%[2]s:%[4]d"
  directory: "%[2]s:%[5]d"
  operators: "%[2]s:%[6]d"
  peers: "%[2]s:%[7]d"
peers: [%[8]s]
capacity: 1
store: {address: "%[9]s"}
shutdown_ms: %[10]d
extra_sends: {ratio: %[11]g, slack: %[12]d}
`, p.name, p.ip, callersPort, readyPort, directoryPort, operatorsPort, peersPort, seeds, p.storeProxy.address(),
		shutdownTimeout.Milliseconds(), extraRatio, extraSlack)
	p.settingsFile = filepath.Join(dir, p.name+".yaml")
	p.logFile = filepath.Join(dir, p.name+".log")
	return os.WriteFile(p.settingsFile, []byte(text), 0o600)
}

// start starts the daemon and a goroutine that restarts it when it exits.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "node", p.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close() // The error of Start is the cause.
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.endRequested, p.paused = cmd, exited, false, false
	go func() {
		err := cmd.Wait()
		_ = out.Close() // The process has exited and writes no more.
		p.mu.Lock()
		if usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.checkMemory(usage.Maxrss << 10)
		}
		if !p.endRequested {
			p.violations = append(p.violations, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
		}
		restart := !p.stopped
		p.mu.Unlock()
		close(exited)
		if restart {
			time.Sleep(restartDelay)
			p.mu.Lock()
			restart = !p.stopped
			p.mu.Unlock()
			if restart {
				if err := p.start(); err != nil {
					p.mu.Lock()
					p.violations = append(p.violations, fmt.Sprintf("%s failed to restart: %v", p.name, err))
					p.mu.Unlock()
				}
			}
		}
	}()
	return nil
}

// recordedViolations returns the violations recorded so far. It includes the
// memory of the current process.
func (p *process) recordedViolations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkMemory(peakMemory(p.cmd.Process.Pid))
	return slices.Clone(p.violations)
}

// maxMemory is the memory of the smallest VMs on which daemons run, in bytes.
const maxMemory = 284e6

// checkMemory records a violation if a process took more than maxMemory. The
// caller holds p.mu.
func (p *process) checkMemory(peak int64) {
	if peak > maxMemory {
		p.violations = append(p.violations, fmt.Sprintf("%s took %d bytes of memory, want at most %.0f", p.name, peak, float64(maxMemory)))
	}
}

// peakMemory returns the most memory that a running process has taken, in bytes,
// or 0 if it is not known.
func peakMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // The process has exited, or the system has no such files.
	}
	var kilobytes int64
	for line := range strings.Lines(string(status)) {
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			break
		}
	}
	return kilobytes << 10
}

// signal sends a signal to the current process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.endRequested = true
	}
	if p.paused && s == syscall.SIGTERM {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // A process paused by SIGSTOP cannot handle SIGTERM.
	}
	_ = p.cmd.Process.Signal(s) // Fails if the process has just exited.
}

// pause stops the process for d with SIGSTOP.
func (p *process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	p.paused = true
	cmd := p.cmd
	p.mu.Unlock()
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd {
			p.paused = false
			_ = cmd.Process.Signal(syscall.SIGCONT) // Fails if the process has exited.
		}
	})
}

// terminate sends SIGTERM, and SIGKILL if the process still runs one second after
// shutdownTimeout.
func (p *process) terminate() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(shutdownTimeout + time.Second):
		p.mu.Lock()
		p.violations = append(p.violations, fmt.Sprintf("%s did not exit within its shutdown timeout of %v after SIGTERM; killing it", p.name, shutdownTimeout))
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
	}
}

// stop kills the process and does not restart it.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	p.signal(syscall.SIGCONT)
	<-exited
	p.storeProxy.close()
}
