package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one daemon. It is started again when it ends.
type process struct {
	name     string
	ip       string
	binary   string
	settings string
	log      string
	store    *proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	down    bool
	paused  bool
	killed  bool
	strange []string // Ends that nobody caused.
}

const (
	callersPort   = 28104
	readyPort     = 28108
	directoryPort = 28100
	operatorsPort = 28106
	peersPort     = 27380
	// graceTime is the time from SIGTERM until SIGKILL.
	graceTime = 3 * time.Second
	// restartDelay is the pause before an ended process is started again.
	restartDelay = 200 * time.Millisecond
)

// writeSettings writes the settings of a daemon.
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
`, p.name, p.ip, callersPort, readyPort, directoryPort, operatorsPort, peersPort, seeds, p.store.address(),
		graceTime.Milliseconds(), extraRatio, extraSlack)
	p.settings = filepath.Join(dir, p.name+".yaml")
	p.log = filepath.Join(dir, p.name+".log")
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "node", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close() // The first error tells more.
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.killed, p.paused = cmd, done, false, false
	go func() {
		err := cmd.Wait()
		_ = out.Close() // Nothing more is written.
		p.mu.Lock()
		if !p.killed {
			p.strange = append(p.strange, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		again := !p.down
		p.mu.Unlock()
		close(done)
		if again {
			time.Sleep(restartDelay)
			p.mu.Lock()
			again = !p.down
			p.mu.Unlock()
			if again {
				if err := p.start(); err != nil {
					p.mu.Lock()
					p.strange = append(p.strange, fmt.Sprintf("%s did not start: %v", p.name, err))
					p.mu.Unlock()
				}
			}
		}
	}()
	return nil
}

// signal sends a signal to the process that runs now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.killed = true
	}
	if p.paused && s == syscall.SIGTERM {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // A paused process cannot end.
	}
	_ = p.cmd.Process.Signal(s) // One that has just ended needs none.
}

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
			_ = cmd.Process.Signal(syscall.SIGCONT) // One that has ended needs none.
		}
	})
}

// terminate asks the process to end and kills it after the grace time.
func (p *process) terminate() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(graceTime + time.Second):
		p.mu.Lock()
		p.strange = append(p.strange, p.name+" outlived its grace time")
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
	}
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.down = true
	done := p.done
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	p.signal(syscall.SIGCONT)
	<-done
	p.store.close()
}
