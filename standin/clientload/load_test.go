package clientload

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"medlaryard.example/medlaryard/platform"
)

const (
	bodyBytes = 256 << 10 // The limit in the configuration.
	headBytes = 16 << 10  // As above.
	// maxSentBytes bounds what one connection sends of something endless.
	maxSentBytes = 4 << 20
	// rounds is how often a client connects again after its connection was closed.
	rounds = 3
	// holdTime is how long a client keeps its connection open after the last byte.
	holdTime = 3 * time.Second
	// ioTimeout bounds a write or read of a client, so that a test ends by itself.
	ioTimeout = 5 * time.Second
)

// load is what one client sends on a connection. An error ends the connection,
// whose end the daemon may have caused.
type load func(conn net.Conn, id string) error

// play lets the given number of clients send l to address at the same time. It
// returns when all have ended.
func play(address string, clients int, l load) {
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			for round := range rounds {
				if conn, err := net.DialTimeout("tcp4", address, ioTimeout); err == nil {
					err = l(conn, fmt.Sprintf("c%d-%d", i, round))
					_ = conn.Close() // The daemon may have closed it before.
					if err == nil {
						return
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// send writes parts and then keeps the connection open. It fails if the daemon
// closes the connection meanwhile.
func send(conn net.Conn, parts ...string) error {
	for _, p := range parts {
		if err := conn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, p); err != nil {
			return err
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(holdTime)); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, conn); err == nil {
		return io.EOF
	}
	return nil
}

// head returns the begin of a request without the empty line that ends its head.
func head(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 60000\r\n", method, path, hostName, platform.HeaderRequestID, id, platform.HeaderDeadline)
}

// shortLines returns header lines of 6 bytes with many different names, as many as
// a head of legal size has room for.
func shortLines() string {
	const names = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < headBytes-1024; i++ {
		fmt.Fprintf(&b, "%c%c:%c\r\n", names[i%26], names[i/26%36], names[i/26/36%36])
	}
	return b.String()
}

// unusualLines returns lines that end without CR and have no value.
func unusualLines() string {
	var b strings.Builder
	for i := 0; b.Len() < headBytes/2; i++ {
		fmt.Fprintf(&b, "x%d:\n", i)
	}
	return b.String()
}

// body returns a body of the given size that lacks its last byte.
func body(size int) string { return strings.Repeat("b", size-1) }

// chunked returns such a body in pieces, without the last one.
func chunked(size, piece int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", piece, strings.Repeat("b", piece))
	return strings.Repeat(chunk, (size-1)/piece)
}

// endless returns a load that sends a head, if there is one, and then text again
// and again.
func endless(withHead bool, text string) load {
	block := strings.Repeat(text, max(1, 16<<10/len(text)))
	return func(conn net.Conn, id string) error {
		parts := []string{""}
		if withHead {
			parts[0] = head("GET", "/find/"+id, id)
		}
		for n := 0; n < maxSentBytes; n += len(block) {
			parts = append(parts, block)
		}
		return send(conn, parts...)
	}
}

// post returns a load that sends a request with the given header lines and body.
// length is its header field for the length of the body.
func post(path, lines, length, body string) load {
	return func(conn net.Conn, id string) error {
		return send(conn, head("POST", path, id)+lines+length+"\r\n\r\n", body)
	}
}

// readNothing requests a large answer and takes only its first bytes. It asks again
// while the daemon refuses.
func readNothing(conn net.Conn, id string) error {
	const prefix = "HTTP/1.1 200"
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, head("GET", "/large/"+id, id)+"\r\n"); err != nil {
		return err
	}
	begin := make([]byte, len(prefix))
	if _, err := io.ReadFull(conn, begin); err != nil {
		return err
	}
	if string(begin) != prefix {
		return fmt.Errorf("answer begins with %q", begin)
	}
	time.Sleep(holdTime)
	return nil
}

// silent sends nothing.
func silent(conn net.Conn, _ string) error { return send(conn) }

// silentUntilClosed sends nothing until the daemon closes the connection.
func silentUntilClosed(conn net.Conn, _ string) error {
	if err := conn.SetReadDeadline(time.Now().Add(2 * crowdTime)); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, conn)
	return err
}
