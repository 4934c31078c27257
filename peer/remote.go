package peer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"medlaryard.example/medlaryard/peer/peerpb"
)

var errReplyTooLarge = errors.New("reply of the peer exceeds the size limit")

// remote holds the connections to one daemon. Each has its own transport, so
// that idle connections to one daemon can be closed without touching others.
type remote struct {
	cfg       config
	transport *http.Transport
	stub      peerpb.Peer
	used      atomic.Int64 // Boot reading of the last call, for eviction.
}

func newRemote(cfg config, address string) *remote {
	r := &remote{cfg: cfg, transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxConnsPerHost:     cfg.connections,
		MaxIdleConnsPerHost: min(maxIdle, cfg.connections),
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
	}}
	r.stub = peerpb.NewPeerProtobufClient("http://"+address, r)
	return r
}

// Do sends one request with the shared key and bounds its reply.
func (r *remote) Do(req *http.Request) (*http.Response, error) {
	// The keeper of a cell receives two heartbeats a second from each member, so
	// headers that the server does not read are left out: 110 of 440 bytes.
	req.Header["User-Agent"] = []string{""}
	req.Header.Del("Accept")
	req.Header.Del("Twirp-Version")
	if r.cfg.key != "" {
		req.Header.Set(keyHeader, r.cfg.key)
	}
	res, err := r.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	res.Body = &boundedBody{ReadCloser: res.Body, left: r.cfg.maxMessage}
	return res, nil
}

func (r *remote) closeIdle() { r.transport.CloseIdleConnections() }

type boundedBody struct {
	io.ReadCloser
	left int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, errReplyTooLarge
	}
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errReplyTooLarge
	}
	return n, err
}
