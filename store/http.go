package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/response"
)

const (
	// defaultTimeout is much longer than the store's usual response time of a few
	// milliseconds, and short compared with the leases of 3 to 5 s that depend on the
	// store.
	defaultTimeout = time.Second
	// defaultWatchWait is below the usual idle timeouts of TCP connections, so that a
	// pending watch is not disconnected.
	defaultWatchWait = 25 * time.Second
	// idleConnections allows the watch, the lease and one write to run concurrently
	// without new connections.
	idleConnections = 4
)

// HTTP is a Store that calls the object API described in
// docs/platform-protocols.md.
type HTTP struct {
	base      string
	client    *http.Client
	timeout   time.Duration
	watchWait time.Duration
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a Store for the object API at base, for example
// "http://10.0.0.1:7000".
func NewHTTP(base string, opts ...Option) *HTTP {
	h := &HTTP{
		base: strings.TrimSuffix(base, "/"),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     defaultWatchWait,
		}},
		timeout:   defaultTimeout,
		watchWait: defaultWatchWait,
	}
	for _, o := range opts {
		o(h)
	}
	h.client.Transport = response.Transport(h.client.Transport)
	return h
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.object(ctx, http.MethodGet, h.objectURL(key), nil)
}

// Put implements Store. It rejects a value above MaxValueBytes without a call.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expected uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, fmt.Errorf("value of %q has %d bytes, the limit is %d", key, len(value), MaxValueBytes)
	}
	put := wirePut{Value: value}
	if expected != Any {
		put.Expected = &expected
	}
	body, err := json.Marshal(put)
	if err != nil {
		return Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.object(ctx, http.MethodPut, h.objectURL(key), body)
}

// Watch implements Store by repeated long polls. An object that does not exist
// counts as version 0.
func (h *HTTP) Watch(ctx context.Context, key string, seen uint64) (Object, error) {
	q := url.Values{"seen": {strconv.FormatUint(seen, 10)}, "wait_ms": {strconv.FormatInt(h.watchWait.Milliseconds(), 10)}}
	for {
		// The store counts each poll of a watch against its rate limits.
		meter.Count("store.watch.polls", 1)
		pollCtx, cancel := context.WithTimeout(ctx, h.watchWait+h.timeout)
		o, err := h.object(pollCtx, http.MethodGet, h.objectURL(key)+"?"+q.Encode(), nil)
		cancel()
		if ctx.Err() != nil && err != nil {
			return Object{}, fmt.Errorf("watch of %q: %w", key, ctx.Err())
		}
		if !errors.Is(err, errUnchanged) {
			return o, err
		}
	}
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	var list wireList
	if err := h.call(ctx, http.MethodGet, h.base+"/v1/objects?prefix="+url.QueryEscape(prefix), nil, maxListBytes, &list); err != nil {
		return nil, err
	}
	objects := make([]Object, 0, len(list.Objects))
	for _, w := range list.Objects {
		objects = append(objects, w.object())
	}
	return objects, nil
}

// errUnchanged means that a long poll ended without a change of the object.
var errUnchanged = errors.New("object did not change")

func (h *HTTP) objectURL(key string) string { return h.base + "/v1/objects/" + escapeKey(key) }

// escapeKey escapes the segments of a key for a URL path. It keeps the slashes, because
// they are part of the path.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}

func (h *HTTP) object(ctx context.Context, method, target string, body []byte) (Object, error) {
	var w wireObject
	// Base64 encodes 3 bytes of the value as 4, and the other fields need a few
	// hundred bytes, so twice the maximum value size is enough.
	if err := h.call(ctx, method, target, body, 2*MaxValueBytes, &w); err != nil {
		return Object{}, err
	}
	return w.object(), nil
}

// call sends one request and decodes the JSON reply into dst. It reads at most limit
// bytes. A reply that is too long or malformed gives ErrUnavailable.
func (h *HTTP) call(ctx context.Context, method, target string, body []byte, limit int64, dst any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create store request %s %s: %w", method, target, err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, target, err)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, limit))
		return fmt.Errorf("%w: %s %s: store returned status %d", err, method, target, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return fmt.Errorf("%w: reading reply of %s %s: %w", ErrUnavailable, method, target, err)
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("%w: reply of %s %s exceeds %d bytes", ErrUnavailable, method, target, limit)
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return fmt.Errorf("%w: decoding reply of %s %s: %w", ErrUnavailable, method, target, err)
	}
	return nil
}

// statusError returns the error for an HTTP status, or nil for 200. An undocumented
// status gives ErrUnavailable, because the outcome of the call is unknown.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNoContent:
		return errUnchanged
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	default:
		return ErrUnavailable
	}
}
