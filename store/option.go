package store

import (
	"net/http"
	"time"
)

// Option configures an HTTP.
type Option func(*HTTP)

// WithTimeout sets the time after which a call other than Watch fails. The default
// is 1 s. A long poll of Watch may take this long in addition to its wait.
func WithTimeout(d time.Duration) Option { return func(h *HTTP) { h.timeout = d } }

// WithWatchWait sets the time for which the store may hold one long poll of Watch.
// The default is 25 s.
func WithWatchWait(d time.Duration) Option { return func(h *HTTP) { h.watchWait = d } }

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option { return func(h *HTTP) { h.client.Transport = t } }
