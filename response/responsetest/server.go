package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
)

// Server answers each request with the same bytes and keeps its connections open.
type Server struct {
	address string
	closed  chan struct{}
}

// NewServer starts a server on a loopback address. It ends with the test.
func NewServer(t testing.TB, answer string) *Server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{address: l.Addr().String(), closed: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, answer string) {
	defer func() {
		_ = c.Close()
		s.closed <- struct{}{}
	}()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// Address returns the server's address.
func (s *Server) Address() string { return s.address }

// Closed delivers a value for each connection that the client has closed.
func (s *Server) Closed() <-chan struct{} { return s.closed }

// WithStatus returns an answer with the given status and body, and further header
// lines that end with CRLF each. It asks for another protocol, so that net/http leaves
// the connection to its caller if the status is 101.
func WithStatus(status, header, body string) string {
	return "HTTP/1.1 " + status + " x\r\nConnection: Upgrade\r\nUpgrade: x\r\n" + header + "Content-Type: application/protobuf\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
