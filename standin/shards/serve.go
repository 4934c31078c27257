package shards

import (
	"errors"
	"net"
	"time"
)

// Serve accepts and serves connections on l until l is closed. It resets a new
// connection if the target is down or has reached its connection limit.
func (t *Target) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		t.accept(conn)
	}
}

func (t *Target) accept(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behaviour.down || len(t.conns) >= t.behaviour.maxConns {
		reset(conn)
		return
	}
	t.conns[conn] = struct{}{}
	t.accepted++
	t.peakConns = max(t.peakConns, len(t.conns))
	handshake := t.behaviour.handshakeTime
	go func() {
		time.Sleep(handshake)
		t.serveConn(conn)
	}()
}

// reset closes conn with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // If this fails, the connection closes with a FIN, which tests accept too.
	}
	_ = conn.Close()
}
