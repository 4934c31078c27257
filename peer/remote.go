package peer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/response"
)

var errReplyTooLarge = errors.New("reply of the peer exceeds the size limit")

// remote is the connection pool to one daemon. Each remote has its own transport,
// so that the client can close the idle connections to one daemon only.
type remote struct {
	cfg       config
	transport *http.Transport
	stub      peerpb.Peer
	lastUsed  atomic.Int64 // Time since boot of the last call, for eviction.
}

func newRemote(cfg config, address string) *remote {
	r := &remote{cfg: cfg, transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     cfg.maxConnections,
		MaxIdleConnsPerHost: min(maxIdleConnections, cfg.maxConnections),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
	r.stub = peerpb.NewPeerProtobufClient("http://"+address, r)
	return r
}

// Do sends a request with the shared key and limits the size of the reply. It
// implements peerpb.HTTPClient.
func (r *remote) Do(req *http.Request) (*http.Response, error) {
	// Omits headers that the server does not read, which saves 110 of 440 bytes.
	// The leader of a cell receives two heartbeats a second from each member.
	req.Header["User-Agent"] = []string{""}
	req.Header.Del("Accept")
	req.Header.Del("Twirp-Version")
	if r.cfg.key != "" {
		req.Header.Set(keyHeader, r.cfg.key)
	}
	res, err := response.Transport(r.transport).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	res.Body = &boundedBody{ReadCloser: res.Body, remaining: r.cfg.maxMessageBytes}
	return res, nil
}

func (r *remote) closeIdle() { r.transport.CloseIdleConnections() }

// boundedBody is a reply body whose Read fails if more than remaining bytes follow.
type boundedBody struct {
	io.ReadCloser
	remaining int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, errReplyTooLarge
	}
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errReplyTooLarge
	}
	return n, err
}
