package response

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrHead means that the head or the trailer of a response is malformed.
var ErrHead = errors.New("malformed head")

// ErrLength means that the length of a body is not certain.
var ErrLength = errors.New("length of the body is not certain")

// noLength is the length of a body that ends with its connection.
const noLength = -1

// maxLengthDigits bounds a Content-Length below the largest integer.
const maxLengthDigits = 18

// head is what the head of a response says about its end.
type head struct {
	size    int // In bytes, with the empty line.
	status  int
	http11  bool
	length  int // From Content-Length, or noLength.
	chunked bool
	closes  bool // The connection ends with the response.
	fields  fields
}

// fields counts the header fields on which the end of a response depends.
type fields struct {
	lengths, encodings int
	keepAlive          bool
}

// peekHead parses the head of the next response without consuming it. The head must fit
// into the buffer of r. A line that is malformed is an error as soon as it is complete.
func peekHead(r *bufio.Reader) (head, error) {
	h := head{length: noLength}
	err := peekLines(r, func(n int, line []byte) error {
		if n == 0 {
			return h.parseStatusLine(line)
		}
		return h.parseField(line)
	}, &h.size)
	if err != nil {
		return h, err
	}
	return h, h.validate()
}

// peekLines calls parse for each line up to an empty one, with the number of the line, and
// sets size to the length of all lines. The first line must not be empty. Lines end with
// CRLF.
func peekLines(r *bufio.Reader, parse func(n int, line []byte) error, size *int) error {
	lines := 0
	for need := 1; ; need = r.Buffered() + 1 {
		if _, err := r.Peek(need); err != nil {
			return endOfInput(err, *size+r.Buffered() > 0)
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		for {
			end := bytes.IndexByte(b[*size:], '\n')
			if end < 0 {
				break
			}
			line := b[*size : *size+end]
			*size += end + 1
			if len(line) == 0 || line[len(line)-1] != '\r' {
				return fmt.Errorf("%w: line without CRLF", ErrHead)
			}
			line = line[:len(line)-1]
			if len(line) == 0 && lines > 0 {
				return nil
			}
			if err := parse(lines, line); err != nil {
				return err
			}
			lines++
		}
	}
}

// endOfInput returns the error for a response whose input ended with err. Begun is whether
// a part of the response was read.
func endOfInput(err error, begun bool) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Errorf("%w: larger than the buffer", ErrHead)
	case err == io.EOF && begun:
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseStatusLine parses the status line. The status must have three digits.
func (h *head) parseStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return fmt.Errorf("%w: status line %.64q", ErrStatus, line)
	}
	h.http11 = minor[0] == '1'
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != len("200") {
		return fmt.Errorf("%w: status line %.64q", ErrStatus, line)
	}
	for _, digit := range code {
		if !isDigit(digit) {
			return fmt.Errorf("%w: status line %.64q", ErrStatus, line)
		}
		h.status = 10*h.status + int(digit-'0')
	}
	if !IsFinal(h.status) && !isInterim(h.status) {
		return fmt.Errorf("%w: %03d", ErrStatus, h.status)
	}
	if !isText(reason) {
		return fmt.Errorf("%w: status line %.64q", ErrHead, line)
	}
	return nil
}

// parseField parses a line of the header. Names are tokens, directly followed by a colon.
// Values that are continued on further lines are malformed.
func (h *head) parseField(line []byte) error {
	name, value, err := cutField(line)
	if err != nil {
		return err
	}
	switch {
	case equalFold(name, "Content-Length"):
		h.fields.lengths++
		return h.parseLength(value)
	case equalFold(name, "Transfer-Encoding"):
		h.fields.encodings++
		if !equalFold(value, "chunked") {
			return fmt.Errorf("%w: Transfer-Encoding %.64q", ErrLength, value)
		}
		h.chunked = true
	case equalFold(name, "Connection"):
		for option := range bytes.SplitSeq(value, []byte(",")) {
			option = bytes.Trim(option, " \t")
			h.closes = h.closes || equalFold(option, "close")
			h.fields.keepAlive = h.fields.keepAlive || equalFold(option, "keep-alive")
		}
	}
	return nil
}

func (h *head) parseLength(value []byte) error {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return fmt.Errorf("%w: Content-Length %.64q", ErrLength, value)
	}
	h.length = 0
	for _, digit := range value {
		if !isDigit(digit) {
			return fmt.Errorf("%w: Content-Length %.64q", ErrLength, value)
		}
		h.length = 10*h.length + int(digit-'0')
	}
	return nil
}

// validate checks the fields that determine the end of the response against each other and
// against version and status.
func (h *head) validate() error {
	f := h.fields
	switch {
	case f.lengths > 1, f.encodings > 1, f.lengths > 0 && f.encodings > 0:
		return fmt.Errorf("%w: %d Content-Length and %d Transfer-Encoding fields", ErrLength, f.lengths, f.encodings)
	case f.encodings > 0 && !h.http11:
		return fmt.Errorf("%w: Transfer-Encoding in a version other than HTTP/1.1", ErrLength)
	case isInterim(h.status): // Another response follows its head, whatever it says.
	case h.status == http.StatusNoContent:
		if f.encodings > 0 || h.length > 0 {
			return fmt.Errorf("%w: status %d with a body", ErrLength, h.status)
		}
	case h.status == http.StatusNotModified:
		if f.encodings > 0 {
			return fmt.Errorf("%w: status %d with a body", ErrLength, h.status)
		}
	case f.lengths+f.encodings == 0:
		h.closes = true
		if !h.http11 {
			return fmt.Errorf("%w: a version other than HTTP/1.1 without Content-Length", ErrLength)
		}
	}
	h.closes = h.closes || !h.http11 && !f.keepAlive
	return nil
}

// cutField returns name and value of a field line.
func cutField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, fmt.Errorf("%w: field %.64q", ErrHead, line)
	}
	if value = bytes.Trim(value, " \t"); !isText(value) {
		return nil, nil, fmt.Errorf("%w: value of field %.64q", ErrHead, name)
	}
	return name, value, nil
}

// equalFold reports whether b is s, without regard to the case of ASCII letters.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i, c := range b {
		if lower(c) != lower(s[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken reports whether b is a token as RFC 9110 defines it.
func isToken(b []byte) bool {
	for _, c := range b {
		letter := 'a' <= lower(c) && lower(c) <= 'z'
		if !letter && !isDigit(c) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b holds no control characters but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
