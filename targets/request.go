package targets

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is one request of a caller, as it is sent to targets.
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
}

// Field is one header field.
type Field struct{ Name, Value string }

// NewRequest returns the request of that id. Deadline is the boot time until which
// the caller waits, so that a pause of the VM counts.
func NewRequest(id, method, uri, host string, header []Field, body []byte, idempotent bool, deadline time.Duration) *Request {
	h := xxhash.New()
	for _, s := range []string{method, host, uri} {
		_, _ = h.WriteString(s) // It never fails.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return &Request{
		id: id, method: method, uri: uri, host: host, header: header, body: body,
		idempotent: idempotent, deadline: deadline, fingerprint: h.Sum64(),
	}
}

// Fingerprint is equal for requests with equal method, host, path and body,
// whatever their ids are.
func (r *Request) Fingerprint() uint64 { return r.fingerprint }

// ID returns the id that the caller gave the request.
func (r *Request) ID() string { return r.id }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// URI returns path and query as the caller sent them.
func (r *Request) URI() string { return r.uri }

// Host returns the host that the caller named.
func (r *Request) Host() string { return r.host }

// Header returns the fields to pass on.
func (r *Request) Header() []Field { return r.header }

// Body returns the whole body.
func (r *Request) Body() []byte { return r.body }

// Deadline returns the boot time until which the caller waits.
func (r *Request) Deadline() time.Duration { return r.deadline }
