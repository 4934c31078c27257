package soak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to one address and injects faults according to its
// mode.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  mode
	delay time.Duration
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// mode is the way in which a proxy treats connections and their data.
type mode int

const (
	modeForward     mode = iota
	modeDropAll          // Drops all data and keeps connections open.
	modeDropReplies      // Forwards requests and drops replies.
	modeRefuse           // Resets new connections.
)

func newProxy(listen, upstream string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, upstream: upstream, conns: make(map[net.Conn]struct{})}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.accept()
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
}

func (p *proxy) state() (mode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

// resetConns resets all open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // If this fails, the connection closes with a FIN, which interrupts it too.
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConns()
	p.wg.Wait()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // The listener is closed.
		}
		if m, _ := p.state(); m == modeRefuse {
			resetConn(client)
			continue
		}
		upstream, err := net.Dial("tcp4", p.upstream)
		if err != nil {
			resetConn(client)
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[upstream] = struct{}{}, struct{}{}
		p.mu.Unlock()
		p.wg.Add(2)
		go p.pipe(client, upstream, false)
		go p.pipe(upstream, client, true)
	}
}

// pipe copies data in one direction until a connection fails, then resets both.
// isReply is true for the direction from upstream to the client.
func (p *proxy) pipe(from, to net.Conn, isReply bool) {
	defer p.wg.Done()
	defer func() {
		resetConn(from)
		resetConn(to)
		p.mu.Lock()
		delete(p.conns, from)
		delete(p.conns, to)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.forward(to, buf[:n], isReply) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes b to a connection after the proxy's delay, unless the mode drops
// it. It returns false if the write fails.
func (p *proxy) forward(to net.Conn, b []byte, isReply bool) bool {
	m, delay := p.state()
	time.Sleep(delay)
	if m == modeDropAll || m == modeDropReplies && isReply {
		return true // Dropped, as by a firewall that lost the connection's state.
	}
	_, err := to.Write(b)
	return err == nil
}
