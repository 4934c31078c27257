package peer

import (
	"crypto/subtle"
	"net/http"

	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/protosize"
)

// Server is the http.Handler for calls of other daemons.
type Server struct {
	cfg   config
	twirp http.Handler
}

// NewServer returns a Server that dispatches calls to h.
func NewServer(h Handlers, opts ...Option) *Server {
	cfg := newConfig(opts)
	return &Server{cfg: cfg, twirp: clientbudget.Handler(peerpb.NewPeerServer(service{h}), int(cfg.maxMessageBytes), clientbudget.Decoding(protosize.OfCall))}
}

// ServeHTTP checks the shared key, the encoding and the size of a request before
// it decodes the request. It answers a failed check with status 401, 415 or 413.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(keyHeader)
	if s.cfg.key != "" && subtle.ConstantTimeCompare([]byte(key), []byte(s.cfg.key)) != 1 {
		reject(w, http.StatusUnauthorized, "key")
		return
	}
	if r.Header.Get("Content-Type") != "application/protobuf" {
		reject(w, http.StatusUnsupportedMediaType, "encoding")
		return
	}
	if r.ContentLength > s.cfg.maxMessageBytes {
		reject(w, http.StatusRequestEntityTooLarge, "size")
		return
	}
	w.Header()["Date"] = nil // Omitted to save bytes; see remote.Do.
	s.twirp.ServeHTTP(w, r)
}

// reject counts and answers a request that failed a check.
func reject(w http.ResponseWriter, status int, reason string) {
	meter.Count("peer.refused."+reason, 1)
	http.Error(w, "refused: "+reason, status)
}
