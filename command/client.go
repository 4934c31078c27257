package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/bearer"
	"medlaryard.example/medlaryard/response"
)

// maxReplyBytes is the maximum number of bytes read from a reply.
const maxReplyBytes = 64 << 20

// client sends HTTP requests to one daemon.
type client struct {
	address string
	key     string
	timeout time.Duration
}

// reply is an HTTP response of a daemon with its body read.
type reply struct {
	status int
	body   []byte
}

// transport ignores the proxy settings of the environment, so daemons are
// always contacted directly.
var transport = response.Transport(&http.Transport{})

// get sends a GET request for path.
func (c client) get(ctx context.Context, path string) (reply, error) {
	return c.send(ctx, http.MethodGet, path, nil)
}

// post sends a POST request to path with v encoded as JSON.
func (c client) post(ctx context.Context, path string, v any) (reply, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return reply{}, eris.Wrap(err, "encode request")
	}
	return c.send(ctx, http.MethodPost, path, body)
}

func (c client) send(ctx context.Context, method, path string, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, eris.Wrapf(err, "daemon address %q", c.address)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	bearer.Set(r, c.key)
	resp, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return reply{}, eris.Wrapf(err, "daemon at %s", c.address)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply{}, eris.Wrapf(err, "read reply from daemon at %s", c.address)
	}
	return reply{status: resp.StatusCode, body: data}, nil
}

// notSent reports whether err proves that no byte of the request was sent,
// because the connection could not be opened.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readKey returns the key in a file, without surrounding white space.
// An empty path means that no key is used.
func readKey(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	key, err := os.ReadFile(path)
	return strings.TrimSpace(string(key)), eris.Wrap(err, "read key")
}
