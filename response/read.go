package response

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// maxInterim bounds the interim responses before an answer, like the bound of
// fasthttp.
const maxInterim = 100

var errTooManyInterim = errors.New("too many interim responses")

// ErrChunk means that a body in chunks is malformed.
var ErrChunk = errors.New("malformed chunk")

// Read reads one answer with a body of at most maxBody bytes into resp.
func Read(resp *fasthttp.Response, r *bufio.Reader, maxBody int) error {
	return ReadWithin(resp, r, maxBody, func(int) error { return nil })
}

// ReadWithin reads an answer as Read does. It calls reserve with the length of the body,
// which is negative if it is not known, before the body is read, and fails with the error
// that reserve returns.
//
// The head is checked before fasthttp decodes it, because fasthttp accepts more: it takes
// the status 000 for 200, trims spaces before a colon, and reads by Content-Length or up
// to the end of the connection where it ignores Transfer-Encoding.
func ReadWithin(resp *fasthttp.Response, r *bufio.Reader, maxBody int, reserve func(length int) error) error {
	h, err := skipInterim(r)
	if err != nil {
		return err
	}
	before := r.Buffered()
	if err := resp.Header.Read(r); err != nil {
		return err
	}
	if n := before - r.Buffered(); n != h.size || resp.StatusCode() != h.status {
		return fmt.Errorf("%w: decoded differently", ErrHead)
	}
	if h.closes {
		resp.SetConnectionClose()
	}
	if resp.SkipBody || !mayHaveBody(h.status) {
		return nil
	}
	if h.length > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	if err := reserve(h.length); err != nil {
		return err
	}
	if h.chunked {
		return readChunks(resp, r, maxBody)
	}
	return resp.ReadBody(r, maxBody)
}

func mayHaveBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// skipInterim reads the interim responses before an answer and returns the answer's head,
// which it does not consume.
func skipInterim(r *bufio.Reader) (head, error) {
	for range maxInterim + 1 {
		h, err := peekHead(r)
		if err != nil || IsFinal(h.status) {
			return h, err
		}
		if _, err := r.Discard(h.size); err != nil {
			return h, err
		}
	}
	return head{}, errTooManyInterim
}

// readChunks reads a body in chunks with its trailer, whose fields are dropped.
func readChunks(resp *fasthttp.Response, r *bufio.Reader, maxBody int) error {
	chunks := httputil.NewChunkedReader(r)
	body := resp.SwapBody(nil)[:0]
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := chunks.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > maxBody {
			return fasthttp.ErrBodyTooLarge
		}
		if err == io.EOF {
			break
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return err
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrChunk, err)
		}
	}
	resp.SwapBody(body)
	return skipTrailer(r)
}

// skipTrailer reads the fields after the last chunk, up to an empty line.
func skipTrailer(r *bufio.Reader) error {
	end, err := r.Peek(len("\r\n"))
	if err != nil {
		return endOfInput(err, true)
	}
	if string(end) == "\r\n" {
		_, err := r.Discard(len(end))
		return err
	}
	size := 0
	err = peekLines(r, func(_ int, line []byte) error {
		name, _, err := cutField(line)
		if err == nil && (equalFold(name, "Content-Length") || equalFold(name, "Transfer-Encoding")) {
			return fmt.Errorf("%w: %s in the trailer", ErrLength, name)
		}
		return err
	}, &size)
	if err != nil {
		return err
	}
	_, err = r.Discard(size)
	return err
}

// Reason returns a short name for what is malformed in an answer, for metrics. It is empty
// if the answer broke off.
func Reason(err error) string {
	switch {
	case errors.Is(err, ErrStatus):
		return "status"
	case errors.Is(err, ErrLength):
		return "length"
	case errors.Is(err, ErrHead):
		return "head"
	case errors.Is(err, ErrChunk):
		return "chunk"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return "too_large"
	}
	return ""
}
