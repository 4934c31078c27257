package peer

import (
	"crypto/subtle"
	"net/http"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Server is the http.Handler of the peers' listener.
type Server struct {
	cfg   config
	twirp http.Handler
}

// NewServer returns a handler that serves the rpcs of h in protobuf.
func NewServer(h Handlers, opts ...Option) *Server {
	return &Server{cfg: newConfig(opts), twirp: peerpb.NewPeerServer(service{h})}
}

// ServeHTTP checks the shared key, the encoding and the size of a request
// before it is decoded.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(keyHeader)
	if s.cfg.key != "" && subtle.ConstantTimeCompare([]byte(key), []byte(s.cfg.key)) != 1 {
		refuse(w, http.StatusUnauthorized, "key")
		return
	}
	if r.Header.Get("Content-Type") != "application/protobuf" {
		refuse(w, http.StatusUnsupportedMediaType, "encoding")
		return
	}
	if r.ContentLength > s.cfg.maxMessage {
		refuse(w, http.StatusRequestEntityTooLarge, "size")
		return
	}
	w.Header()["Date"] = nil // Left out; see remote.Do.
	r.Body = http.MaxBytesReader(w, r.Body, s.cfg.maxMessage)
	s.twirp.ServeHTTP(w, r)
}

func refuse(w http.ResponseWriter, status int, reason string) {
	meter.Count("peer.refused."+reason, 1)
	http.Error(w, "refused: "+reason, status)
}
