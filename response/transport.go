package response

import (
	"fmt"
	"net/http"
)

// Transport returns a transport that fails with ErrStatus if the status of a
// response of t is invalid, and with ErrLength if its version is before HTTP/1.1 and it has no
// Content-Length: net/http ignores Transfer-Encoding then. With status 101, net/http leaves the connection to the
// caller as the body, so that reading it would not end with the request's context.
func Transport(t http.RoundTripper) http.RoundTripper { return transport{t} }

type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return resp, err
	}
	switch {
	case !IsFinal(resp.StatusCode):
		err = fmt.Errorf("%w: %03d", ErrStatus, resp.StatusCode)
	case !resp.ProtoAtLeast(1, 1) && resp.ContentLength < 0:
		err = fmt.Errorf("%w: a version before HTTP/1.1 without Content-Length", ErrLength)
	default:
		return resp, nil
	}
	closeErr := resp.Body.Close()
	t.CloseIdleConnections() // A connection is idle already if the response has no body.
	if closeErr != nil {
		return nil, fmt.Errorf("%w; close its connection: %w", err, closeErr)
	}
	return nil, err
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
// http.Client.CloseIdleConnections calls it.
func (t transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
