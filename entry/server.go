package entry

import (
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/log"
	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// Server serves the callers' HTTP interface.
type Server struct {
	e           *Entry
	http        *fasthttp.Server
	connections atomic.Int64
}

// NewServer returns a Server that answers requests with e. It enforces this
// package's limits on body size, I/O time and connections.
func NewServer(e *Entry) *Server {
	s := &Server{e: e}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleError,
		HeaderReceived:        s.checkKeyBeforeBody,
		Name:                  "medlaryard",
		Concurrency:           maxConnections + overflowConnections,
		ConnState:             s.trackConnection,
		MaxRequestBodySize:    maxBodyBytes,
		StreamRequestBody:     true, // Bodies over the limit reach readBody.
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

// Serve accepts connections on l until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown closes the listener and idle connections. It returns when all requests
// in flight have been answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(c *fasthttp.RequestCtx) {
	arrived := s.e.clk.Boot()
	connOf(c).StartRequest()
	defer refuseAfterPanic(c)
	if n := s.connections.Load(); n > maxConnections {
		writeRefusal(c, "", refusal.New(refusal.Overloaded, "daemon has %d caller connections, the limit is %d", n, maxConnections))
		c.SetConnectionClose()
		return
	}
	method, path := string(c.Method()), string(c.Path())
	switch {
	case method == methodRefused:
		s.refuseBeforeBody(c, path)
	case method == fasthttp.MethodGet && path == "/v1/addresses":
		s.handleAddresses(c)
	case method == fasthttp.MethodPost && path == pathQuery:
		s.handleQuery(c, arrived)
	case method == fasthttp.MethodPost && path == pathRun:
		s.handleRun(c, arrived)
	default:
		writeRefusal(c, "", refusal.New(refusal.Malformed, "%s %s is not an endpoint of the interface", method, path))
	}
}

// refuseAfterPanic turns a panic of the handler into a refusal, because fasthttp
// would end the process. The request may have run.
func refuseAfterPanic(c *fasthttp.RequestCtx) {
	v := recover()
	if v == nil {
		return
	}
	if violation, ok := v.(invariant.Violation); ok {
		panic(violation)
	}
	meter.Count("entry.panic", 1)
	log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Msg("panic while handling a request")
	c.Response.Reset()
	writeRefusal(c, "", refusal.New(refusal.Internal, "unexpected error"))
	c.SetConnectionClose()
}

// trackConnection updates the number of open connections.
func (s *Server) trackConnection(nc net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateIdle:
		if c, ok := nc.(*clientbudget.Conn); ok {
			c.EndRequest()
		}
	case fasthttp.StateNew:
		s.connections.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.connections.Add(-1)
	}
}

// handleError answers requests that fasthttp rejects before the handler runs.
func (s *Server) handleError(c *fasthttp.RequestCtx, err error) {
	kind := refusal.Malformed
	if err == fasthttp.ErrBodyTooLarge {
		kind = refusal.TooLarge
	}
	writeRefusal(c, "", refusal.New(kind, "%v", err))
	c.SetConnectionClose()
}

func (s *Server) handleAddresses(c *fasthttp.RequestCtx) {
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
	writeJSON(c, fasthttp.StatusOK, out)
}

func (s *Server) handleQuery(c *fasthttp.RequestCtx, arrived time.Duration) {
	key := requestKey(&c.Request.Header)
	if err := s.e.identify(key, ""); err != nil {
		writeUnauthenticated(c, "", err)
		return
	}
	q, err := readRequest(c, false, decodeQuery)
	if err != nil {
		writeRefusal(c, q.id, err)
		return
	}
	if err := s.e.identify(key, q.owner); err != nil {
		writeUnauthenticated(c, q.id, err)
		return
	}
	a, err := s.e.Search(s.e.shutdown.requests, q, arrived)
	if err != nil {
		writeRefusal(c, q.id, err)
		return
	}
	writeJSON(c, fasthttp.StatusOK, a.reply())
}
