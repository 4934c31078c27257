package store

import (
	"net/http"
	"time"
)

// Option changes how NewHTTP builds an HTTP.
type Option func(*HTTP)

// WithTimeout sets the time after which a call other than Watch fails.
func WithTimeout(d time.Duration) Option { return func(h *HTTP) { h.timeout = d } }

// WithWatchWait sets the time for which the store may hold one long poll.
func WithWatchWait(d time.Duration) Option { return func(h *HTTP) { h.wait = d } }

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option { return func(h *HTTP) { h.client.Transport = t } }
