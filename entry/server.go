package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// Server is the callers' listener.
type Server struct {
	e           *Entry
	http        *fasthttp.Server
	connections atomic.Int64
}

// NewServer returns a Server of e with the limits on size, time and connections
// of this package.
func NewServer(e *Entry) *Server {
	s := &Server{e: e}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleError,
		Name:                  "medlaryard",
		Concurrency:           maxConnections + spareConnections,
		ConnState:             s.count,
		MaxRequestBodySize:    maxBodyBytes,
		StreamRequestBody:     true, // Larger bodies reach readBody.
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		Logger:                serverLog{},
		NoDefaultContentType:  true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve answers callers on l until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown closes the listener and idle connections and waits until requests in
// flight were answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(c *fasthttp.RequestCtx) {
	arrived := s.e.clk.Boot()
	if n := s.connections.Load(); n > maxConnections {
		refuse(c, "", refusal.New(refusal.Overloaded, "daemon has %d connections of callers", n))
		c.SetConnectionClose()
		return
	}
	method, path := string(c.Method()), string(c.Path())
	switch {
	case method == fasthttp.MethodGet && path == "/v1/addresses":
		s.addresses(c)
	case method == fasthttp.MethodPost && path == "/v1/query":
		s.query(c, arrived)
	case method == fasthttp.MethodPost && path == "/v1/run":
		s.runOnce(c, arrived)
	default:
		refuse(c, "", refusal.New(refusal.Malformed, "%s %s is not part of the interface", method, path))
	}
}

// count follows the number of open connections.
func (s *Server) count(_ net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		s.connections.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.connections.Add(-1)
	}
}

// handleError answers what fasthttp rejects before the handler runs.
func (s *Server) handleError(c *fasthttp.RequestCtx, err error) {
	kind := refusal.Malformed
	if err == fasthttp.ErrBodyTooLarge {
		kind = refusal.TooLarge
	}
	refuse(c, "", refusal.New(kind, "%v", err))
	c.SetConnectionClose()
}

func (s *Server) addresses(c *fasthttp.RequestCtx) {
	list := s.e.fleet.Addresses()
	out := addressesReply{
		Addresses: make([]addressReply, 0, len(list)),
		KeepMS:    s.e.addressTTL.Milliseconds(),
		IssuedMS:  s.e.Now().UnixMilli(),
	}
	for _, a := range list {
		out.Addresses = append(out.Addresses, addressReply{a.address, a.incarnation, a.domain})
	}
	meter.Count("entry.addresses", 1)
	send(c, fasthttp.StatusOK, out)
}

func (s *Server) query(c *fasthttp.RequestCtx, arrived time.Duration) {
	data, err := readBody(c)
	if err != nil {
		refuse(c, "", err)
		return
	}
	q, err := decodeQuery(data)
	if err != nil {
		refuse(c, q.id, err)
		return
	}
	a, err := s.e.Search(context.Background(), q, arrived)
	if err != nil {
		refuse(c, q.id, err)
		return
	}
	send(c, fasthttp.StatusOK, a.wire())
}
