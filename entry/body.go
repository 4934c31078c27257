package entry

import (
	"errors"
	"io"
	"slices"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/refusal"
)

// maxDiscardBytes limits how much of an oversized body is read and discarded. If
// the connection were closed while the caller still writes, the caller would see
// a reset instead of the refusal.
const maxDiscardBytes = 4 * maxBodyBytes

// connOf returns the counted connection of a request, or nil if its listener does
// not count connections.
func connOf(c *fasthttp.RequestCtx) *clientbudget.Conn {
	conn, _ := c.Conn().(*clientbudget.Conn)
	return conn
}

// decodeAllocation is how many times the size of a body is allocated to decode it: the
// decoder's buffer, which doubles until it has room for all, and a copy of the query.
const decodeAllocation = 5

// readRequest reads the body of a request and decodes it, after which the request may
// run, if once is true only once. The result is independent of the bytes that fasthttp
// reuses after the handler returns, because late peer calls still need it.
func readRequest[T any](c *fasthttp.RequestCtx, once bool, decode func([]byte) (T, error)) (T, error) {
	conn := connOf(c)
	var none T
	data, err := readBody(c, conn, once)
	if err != nil {
		return none, err
	}
	if err := conn.AdmitAllocation(decodeAllocation * len(data)); err != nil {
		return none, refuseExhausted(c, err)
	}
	defer conn.NoteAllocated()
	return decode(data)
}

func readBody(c *fasthttp.RequestCtx, conn *clientbudget.Conn, once bool) ([]byte, error) {
	data, err := readStream(c, conn)
	if err == nil {
		err = conn.Run(once)
	}
	if errors.Is(err, clientbudget.ErrExhausted) {
		return nil, refuseExhausted(c, err)
	}
	return data, err
}

// refuseExhausted discards the rest of the body and returns the refusal.
func refuseExhausted(c *fasthttp.RequestCtx, err error) error {
	if c.Request.IsBodyStream() {
		_, _ = io.CopyN(io.Discard, c.RequestBodyStream(), maxDiscardBytes)
	}
	c.SetConnectionClose()
	return refusal.New(refusal.Overloaded, "%v", err)
}

func readStream(c *fasthttp.RequestCtx, conn *clientbudget.Conn) ([]byte, error) {
	if !c.Request.IsBodyStream() {
		return slices.Clone(c.PostBody()), nil
	}
	stream := c.RequestBodyStream()
	length := int64(c.Request.Header.ContentLength())
	data, err := conn.ReadBody(io.LimitReader(stream, maxBodyBytes+1), min(length, maxBodyBytes+1), maxBodyBytes+1)
	if errors.Is(err, clientbudget.ErrExhausted) {
		return nil, err
	}
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
