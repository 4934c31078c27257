package entry

import (
	"io"
	"slices"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/refusal"
)

// maxDiscard bounds what is read of a body over the limit. A connection that is
// closed while the caller still writes is reset, and the caller loses the refusal.
const maxDiscard = 4 * maxBodyBytes

// readBody returns a copy of the body, because the request's own bytes belong to
// the connection and late calls outlive the handler.
func readBody(c *fasthttp.RequestCtx) ([]byte, error) {
	if !c.Request.IsBodyStream() {
		return slices.Clone(c.PostBody()), nil
	}
	stream := c.RequestBodyStream()
	data, err := io.ReadAll(io.LimitReader(stream, maxBodyBytes+1))
	if err != nil {
		c.SetConnectionClose()
		return nil, refusal.New(refusal.Malformed, "body: %v", err)
	}
	if len(data) <= maxBodyBytes {
		return data, nil
	}
	_, _ = io.CopyN(io.Discard, stream, maxDiscard)
	c.SetConnectionClose()
	return nil, refusal.New(refusal.TooLarge, "request exceeds %d bytes", maxBodyBytes)
}
