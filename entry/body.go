package entry

import (
	"io"
	"slices"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/refusal"
)

// maxDiscardBytes limits how much of an oversized body is read and discarded. If
// the connection were closed while the caller still writes, the caller would see
// a reset instead of the refusal.
const maxDiscardBytes = 4 * maxBodyBytes

// readBody returns a copy of the request body. fasthttp reuses the original
// bytes after the handler returns, but late peer calls still need them.
func readBody(c *fasthttp.RequestCtx) ([]byte, error) {
	if !c.Request.IsBodyStream() {
		return slices.Clone(c.PostBody()), nil
	}
	stream := c.RequestBodyStream()
	data, err := io.ReadAll(io.LimitReader(stream, maxBodyBytes+1))
	if err != nil {
		c.SetConnectionClose()
		return nil, refusal.New(refusal.Malformed, "request body cannot be read: %v", err)
	}
	if len(data) <= maxBodyBytes {
		return data, nil
	}
	_, _ = io.CopyN(io.Discard, stream, maxDiscardBytes)
	c.SetConnectionClose()
	return nil, refusal.New(refusal.TooLarge, "request body exceeds %d bytes", maxBodyBytes)
}
