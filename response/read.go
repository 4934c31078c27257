package response

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// maxInterim bounds the interim responses before an answer, like the bound of
// fasthttp.
const maxInterim = 100

var errTooManyInterim = errors.New("too many interim responses")

// Read reads one answer with a body of at most maxBody bytes into resp. It fails
// with ErrStatus if the status is invalid.
func Read(resp *fasthttp.Response, r *bufio.Reader, maxBody int) error {
	if err := SkipInterim(r); err != nil {
		return err
	}
	return ReadFinal(resp, r, maxBody, func(int) error { return nil })
}

// ErrLength means that the length of a body is not certain.
var ErrLength = errors.New("answer of a version other than HTTP/1.1 without a length")

// chunked is the length by which fasthttp marks a body in chunks.
const chunked = -1

// ReadFinal reads an answer after SkipInterim. It calls reserve with the length of the
// body, which is negative if it is not known, before the body is read, and fails with
// the error that reserve returns.
//
// fasthttp ignores Transfer-Encoding unless the version is exactly HTTP/1.1, and would
// take chunks as they were sent, up to the end of the connection, for the body.
func ReadFinal(resp *fasthttp.Response, r *bufio.Reader, maxBody int, reserve func(length int) error) error {
	withoutBody := resp.SkipBody
	resp.SkipBody = true
	err := resp.ReadLimitBody(r, maxBody)
	resp.SkipBody = withoutBody
	if err != nil || withoutBody || !mayHaveBody(resp.StatusCode()) {
		return err
	}
	length := resp.Header.ContentLength()
	switch {
	case length < 0 && !resp.Header.IsHTTP11():
		return ErrLength
	case length > maxBody:
		return fasthttp.ErrBodyTooLarge
	}
	if err := reserve(length); err != nil {
		return err
	}
	if err := resp.ReadBody(r, maxBody); err != nil || length != chunked {
		return err
	}
	if err := resp.Header.ReadTrailer(r); err != nil {
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	return nil
}

func mayHaveBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// SkipInterim reads the interim responses before an answer. It fails with ErrStatus
// if the answer's status is invalid.
//
// The status line is examined before fasthttp decodes it, because
// fasthttp.ResponseHeader.StatusCode returns 200 for the status 000.
func SkipInterim(r *bufio.Reader) error {
	for range maxInterim + 1 {
		status, err := peekStatus(r)
		switch {
		case err != nil:
			return err
		case IsFinal(status):
			return nil
		case !isInterim(status):
			return fmt.Errorf("%w: %03d", ErrStatus, status)
		}
		var interim fasthttp.ResponseHeader
		if err := interim.Read(r); err != nil {
			return err
		}
	}
	return errTooManyInterim
}

// peekStatus returns the status of the next response without consuming it. Like
// fasthttp it skips empty lines before the status line, and spaces before the
// status.
func peekStatus(r *bufio.Reader) (int, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return 0, err
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return 0, err
		}
		for line := range bytes.Lines(b) {
			if line[len(line)-1] != '\n' {
				break // The line is incomplete.
			}
			if line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r")); len(line) > 0 {
				return parseStatus(line)
			}
		}
	}
}

// parseStatus returns the status in a status line. It must have three digits.
func parseStatus(line []byte) (int, error) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != len("200") {
		return 0, fmt.Errorf("%w: status line %.64q", ErrStatus, line)
	}
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0, fmt.Errorf("%w: status line %.64q", ErrStatus, line)
		}
		status = 10*status + int(digit-'0')
	}
	return status, nil
}
