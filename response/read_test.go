package response

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

const maxTestBody = 1000

func read(answer string) (*fasthttp.Response, error) {
	resp := &fasthttp.Response{}
	return resp, Read(resp, bufio.NewReader(strings.NewReader(answer)), maxTestBody)
}

// Guards against a response with an invalid status that is taken for an answer, as
// fasthttp does with 000, and against a valid one that is rejected.
func TestReadStatus(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\nok"
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 200": 200, "HTTP/1.1  204 x": 204, "HTTP/1.1 404 ": 404, "HTTP/1.1 599 000": 599,
		"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 500 x": 500, "\r\n\nHTTP/1.1 200 OK": 200,
		"HTTP/1.1 000 OK": 0, "HTTP/1.1 099 x": 0, "HTTP/1.1 101 x": 0, "HTTP/1.1 600 x": 0, "HTTP/1.1 999 x": 0, "HTTP/1.1 0 x": 0,
		"HTTP/1.1 20 x": 0, "HTTP/1.1 -20 x": 0, "HTTP/1.1 +20 x": 0, "HTTP/1.1 200000 x": 0, "HTTP/1.1 2\x000 x": 0, "HTTP/1.1": 0, "200": 0,
		"HTTP/1.1\t200 x": 0, "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 x": 0, "HTTP/1.1 102 x\r\n\r\nHTTP/1.1 101 x": 0, "\r\nHTTP/1.1 000 x": 0,
	} {
		resp, err := read(line + rest)
		if valid := want != 0; valid != (err == nil) || valid && resp.StatusCode() != want || !valid && !errors.Is(err, ErrStatus) {
			t.Errorf("%q: status %d, error %v; want status %d", line, resp.StatusCode(), err, want)
		}
	}
}

// Guards against chunks that are passed on as they were sent, or a part of a body that is
// taken for all of it, because of the version in the status line.
func TestReadLength(t *testing.T) {
	const chunks = "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for answer, want := range map[string]string{
		"HTTP/1.1 200 OK" + chunks:                            "ok",
		"HTTP/1.1 200 OK\r\n\r\nok":                           "ok",
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok":      "ok",
		"HTTP/1.0 204 No Content\r\n\r\n":                     "",
		"HTTP/1.0 200 OK" + chunks:                            ErrLength.Error(),
		"HTTP/1.9 200 OK" + chunks:                            ErrLength.Error(),
		"HTTP/1.0 200 OK\r\n\r\nok":                           ErrLength.Error(),
		"HTTP/1.9 200 OK" + chunks[:len(chunks)-len("0\r\n")]: ErrLength.Error(),
	} {
		resp, err := read(answer)
		got := string(resp.Body())
		if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%q: %q, want %q", answer, got, want)
		}
	}
}

// Guards against a reader that does not end: with interim responses or empty lines
// without end, or a response that is cut off anywhere.
func TestReadEnds(t *testing.T) {
	for name, answer := range map[string]string{
		"interim responses": strings.Repeat("HTTP/1.1 102 x\r\n\r\n", 100000),
		"empty lines":       strings.Repeat("\r\n", 100000),
		"status line":       "HTTP/1.1 " + strings.Repeat("2", 100000),
	} {
		r := strings.NewReader(answer)
		if err := Read(&fasthttp.Response{}, bufio.NewReader(r), maxTestBody); err == nil || r.Len() < 50000 {
			t.Errorf("%s: error %v with %d of %d bytes left, want an error after a few", name, err, r.Len(), len(answer))
		}
	}
	const answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for n := range len(answer) {
		if _, err := read(answer[:n]); err == nil {
			t.Errorf("the first %d of %d bytes are an answer", n, len(answer))
		}
	}
}

// Guards against a status that Read finds in other bytes than fasthttp, which
// decodes the answer.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		"", "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 100 x\r\nA: b\r\n\r\nHTTP/1.1 304 x\r\n\r\n",
		"\r HTTP/1.1 200 OK\r\n\r\n", " HTTP/1.1 000 200\r\n\r\n", "HTTP/1.1 200\rx 000\n\n", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n1\r\nx\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		got, want := &fasthttp.Response{}, &fasthttp.Response{}
		err := Read(got, bufio.NewReader(bytes.NewReader(answer)), maxTestBody)
		wantErr := want.ReadLimitBody(bufio.NewReader(bytes.NewReader(answer)), maxTestBody)
		switch {
		case errors.Is(err, ErrStatus):
			if zero := bytes.Contains(answer, []byte("000")); wantErr == nil && IsFinal(want.StatusCode()) && (want.StatusCode() != fasthttp.StatusOK || !zero) {
				t.Errorf("rejected (%v), status %d for fasthttp", err, want.StatusCode())
			}
		case errors.Is(err, ErrLength):
			if got.Header.IsHTTP11() {
				t.Errorf("rejected (%v), version %s", err, got.Header.Protocol())
			}
		case (err == nil) != (wantErr == nil):
			t.Errorf("error %v, fasthttp's error %v", err, wantErr)
		case err == nil && (!IsFinal(got.StatusCode()) || got.String() != want.String()):
			t.Errorf("response %q, for fasthttp %q", got.String(), want.String())
		}
	})
}
