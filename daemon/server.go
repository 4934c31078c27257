package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/clientbudget"
)

// Limits of the listeners for peers and operators.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// headLimit returns the bound of request heads on all listeners. The callers' server
// refuses heads that exceed its smaller buffer.
func headLimit() int { return maxHeaderBytes }

// server is an HTTP server with limits on time and header size.
type server struct {
	http *http.Server
}

func newServer(name string, h http.Handler) *server {
	s := &server{http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newStdLog(log.With().Str("listener", name).Logger()),
	}}
	clientbudget.Configure(s.http)
	return s
}

// serve accepts connections on l. It returns nil after shutdown.
func (s *server) serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown stops the listener and waits for requests in flight. When ctx ends, it
// closes their connections.
func (s *server) shutdown(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
