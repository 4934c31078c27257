package targets

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is a caller's request in the form in which it is sent to targets. It
// is immutable.
type Request struct {
	id          string
	method      string
	uri         string
	host        string
	header      []Field
	body        []byte
	idempotent  bool
	deadline    time.Duration
	fingerprint uint64
	account     string
	priority    int
	hasPriority bool
}

// Field is an HTTP header field.
type Field struct{ Name, Value string }

// NewRequest returns the request with the given ID. Deadline is the boot time
// until which the caller waits; unlike other clocks, boot time also runs while
// the VM is paused.
func NewRequest(id, method, uri, host string, header []Field, body []byte, idempotent bool, deadline time.Duration, opts ...RequestOption) *Request {
	h := xxhash.New()
	for _, s := range []string{method, host, uri} {
		_, _ = h.WriteString(s) // Write to a hash never fails.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	r := &Request{
		id: id, method: method, uri: uri, host: host, header: header, body: body,
		idempotent: idempotent, deadline: deadline, fingerprint: h.Sum64(),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// RequestOption sets an optional property of a Request.
type RequestOption func(*Request)

// ForAccount sets the client account on whose behalf the request is sent.
func ForAccount(name string) RequestOption { return func(r *Request) { r.account = name } }

// WithPriority sets the priority of the request, which replaces that of its route;
// 0 is the most urgent.
func WithPriority(rank int) RequestOption {
	return func(r *Request) { r.priority, r.hasPriority = rank, true }
}

// Priority returns the priority of the request on a route with the given priority.
func (r *Request) Priority(ofRoute int) int {
	if r.hasPriority {
		return r.priority
	}
	return ofRoute
}

// Account returns the name of the client account, or "" if there is none.
func (r *Request) Account() string { return r.account }

// Fingerprint returns a hash of method, host, URI and body. It does not depend
// on the ID.
func (r *Request) Fingerprint() uint64 { return r.fingerprint }

// ID returns the caller's ID of the request.
func (r *Request) ID() string { return r.id }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// URI returns the path and query string as sent by the caller.
func (r *Request) URI() string { return r.uri }

// Host returns the host that the request is addressed to.
func (r *Request) Host() string { return r.host }

// Header returns the header fields to forward.
func (r *Request) Header() []Field { return r.header }

// Body returns the whole body.
func (r *Request) Body() []byte { return r.body }

// Deadline returns the boot time until which the caller waits.
func (r *Request) Deadline() time.Duration { return r.deadline }
