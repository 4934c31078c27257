package shards

import (
	"errors"
	"net"
	"time"
)

// Listen serves the target on l until it is closed. It applies the cap on
// connections and the states in which no connection is accepted.
func (t *Target) Listen(l net.Listener) error {
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
	if t.b.down || len(t.conns) >= t.b.maxConns {
		reset(conn)
		return
	}
	t.conns[conn] = struct{}{}
	t.accepted++
	t.peak = max(t.peak, len(t.conns))
	handshake := t.b.handshake
	go func() {
		time.Sleep(handshake)
		t.serve(conn)
	}()
}

// reset closes a connection with a reset instead of an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without it the close is orderly, which tests also accept.
	}
	_ = conn.Close()
}
