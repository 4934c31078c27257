package clientbudget

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"medlaryard.example/medlaryard/meter"
)

// Handler returns a handler that reads the whole body of each request within the
// budget and passes it on to next. A body may have maxBody bytes; a request whose
// body is larger gets 413, one for which there is no memory 503.
func Handler(next http.Handler, maxBody int, opts ...HandlerOption) http.Handler {
	h := handler{allocation: func(*http.Request, []byte) int { return 0 }}
	for _, o := range opts {
		o(&h)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if r.Body != nil && r.Body != http.NoBody {
			body, err := c.ReadBody(http.MaxBytesReader(w, r.Body, int64(maxBody)), r.ContentLength, maxBody)
			if err != nil {
				refuseBody(w, err)
				return
			}
			if err := c.AdmitAllocation(h.allocation(r, body)); err != nil {
				refuseBody(w, err)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		if c.Run(false) != nil {
			return // The client is gone.
		}
		next.ServeHTTP(w, r)
	})
}

type handler struct {
	allocation func(r *http.Request, body []byte) int
}

// HandlerOption sets an option of a Handler.
type HandlerOption func(*handler)

// Decoding sets the function that returns how many bytes are allocated to decode a body.
// The handler that decodes it calls NoteAllocated afterwards.
func Decoding(f func(r *http.Request, body []byte) int) HandlerOption {
	return func(h *handler) { h.allocation = f }
}

func refuseBody(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrExhausted):
		status = http.StatusServiceUnavailable
	}
	meter.Count("clients.body_refused", 1)
	w.Header().Set("Connection", "close")
	http.Error(w, http.StatusText(status), status)
}
