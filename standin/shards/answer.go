package shards

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/platform"
)

// answerWriter writes the answers of one connection and keeps the copies that
// are sent late.
type answerWriter struct {
	net.Conn
	target *Target
	copy   string // Second copy of the previous answer, or "".
}

// writeLateCopy writes the second copy of an answer if one is due when the request
// with the given ID arrives. It reports whether the connection is still open.
func (w *answerWriter) writeLateCopy(id string) bool {
	late := w.copy
	w.copy = ""
	t := w.target
	t.mu.Lock()
	if late == "" {
		late = t.copies[id]
		delete(t.copies, id)
	}
	t.mu.Unlock()
	return late == "" || writeString(w.Conn, late)
}

// write writes an answer and draws whether a second copy of it follows late. It
// reports whether the connection is still open.
func (w *answerWriter) write(b Behaviour, id, answer string) bool {
	if w.target.randomFault(b.lateCopyShare) {
		if b.copyAcross {
			w.target.keepCopy(id, answer)
		} else {
			w.copy = answer
		}
	}
	return writeString(w.Conn, answer)
}

func (t *Target) keepCopy(id, answer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copies[id] = answer
}

// HealthPath is the path at which a target states how long it is cold.
const HealthPath = "/healthz"

func (t *Target) answerProbe(w *answerWriter, b Behaviour) bool {
	if b.blackhole || b.silent {
		_, _ = io.Copy(io.Discard, w.Conn)
		return false
	}
	t.mu.Lock()
	t.probes++
	left := max(time.Until(t.coldUntil).Milliseconds(), 0)
	t.mu.Unlock()
	return writeString(w.Conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", platform.HeaderInstance, t.id, platform.HeaderWarmUp, left))
}

func writeString(conn net.Conn, s string) bool {
	_, err := conn.Write([]byte(s))
	return err == nil
}

// writeEndless writes an answer with the given begin of its head until the
// connection is closed.
func writeEndless(conn net.Conn, e Endlessness, head string) {
	const blockSize = 32 << 10
	begin, text := "", "x"
	switch e {
	case EndlessHead:
		begin, text = head, "X-Header: value\r\n"
	case EndlessBody:
		begin = head + "Connection: close\r\n\r\n"
	case EndlessChunk:
		begin, text = head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"
	case NoAnswer, Ends:
	}
	block := strings.Repeat(text, blockSize/len(text))
	ok := writeString(conn, begin)
	for ok {
		ok = writeString(conn, block)
	}
}

// formatResponse returns an HTTP response that carries the request id, the
// target's stamp for it and the header fields of the behaviour.
func formatResponse(b Behaviour, status int, id, target string, body []byte) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", formatHead(b, status, id, target), len(body), body)
}

// formatHead returns the head of such a response without the length of its body.
func formatHead(b Behaviour, status int, id, target string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%s: %s\r\n%s: %s.%s\r\n",
		status, fasthttp.StatusMessage(status), b.header, platform.HeaderRequestID, id, platform.HeaderStamp, target, id)
}
