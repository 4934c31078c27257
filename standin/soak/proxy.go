package soak

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to one address and misbehaves on demand.
type proxy struct {
	l  net.Listener
	to string

	mu    sync.Mutex
	mode  mode
	delay time.Duration
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// mode is how a proxy treats bytes.
type mode int

const (
	passing  mode = iota
	silent        // Nothing passes and nothing is closed.
	answers       // Requests pass, answers do not.
	refusing      // New connections are reset.
)

func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, to: to, conns: make(map[net.Conn]struct{})}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.accept()
	}()
	return p, nil
}

func (p *proxy) address() string { return p.l.Addr().String() }

func (p *proxy) set(m mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
}

func (p *proxy) state() (mode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

// reset cuts all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // An orderly close is a cut as well.
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.reset()
	p.wg.Wait()
}

func (p *proxy) accept() {
	for {
		near, err := p.l.Accept()
		if err != nil {
			return // Closed.
		}
		if m, _ := p.state(); m == refusing {
			abort(near)
			continue
		}
		far, err := net.Dial("tcp4", p.to)
		if err != nil {
			abort(near)
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = struct{}{}, struct{}{}
		p.mu.Unlock()
		p.wg.Add(2)
		go p.pipe(near, far, false)
		go p.pipe(far, near, true)
	}
}

// pipe copies one direction. Back is the direction of answers.
func (p *proxy) pipe(from, to net.Conn, back bool) {
	defer p.wg.Done()
	defer func() {
		abort(from)
		abort(to)
		p.mu.Lock()
		delete(p.conns, from)
		delete(p.conns, to)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.pass(to, buf[:n], back) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass forwards bytes unless the mode swallows them.
func (p *proxy) pass(to net.Conn, b []byte, back bool) bool {
	m, delay := p.state()
	time.Sleep(delay)
	if m == silent || m == answers && back {
		return true // Lost, as behind a device that has forgotten the connection.
	}
	_, err := to.Write(b)
	return err == nil
}
