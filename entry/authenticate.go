package entry

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/account"
	"medlaryard.example/medlaryard/bearer"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

const (
	// methodRefused replaces the method of a request that is refused before its
	// body is read. No method of the interface has this name.
	methodRefused = "REFUSED"
	// lingerTime limits how long a connection is read after a refusal that precedes
	// the body. Closing it while the body arrives would reset it, and the caller
	// might not see the refusal.
	lingerTime = 500 * time.Millisecond
)

// requestKey returns the API key of a request, or "". A request with several
// Authorization fields has none, because it is not clear which one applies.
func requestKey(h *fasthttp.RequestHeader) string {
	values := h.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) != 1 {
		return ""
	}
	return bearer.Key(string(values[0]))
}

// identify returns a refusal if the catalogue has keys and key belongs to no owner.
// With an owner, it also returns one if the key belongs to another. A daemon without
// a catalogue refuses the request later.
func (e *Entry) identify(key, owner string) error {
	estate, ok := e.fleet.Estate()
	if !ok || estate.Accounts() == nil {
		return nil
	}
	a, result := estate.Accounts().Identify(key)
	switch {
	case result == account.NoKey:
		meter.Count("entry.unauthenticated.no_key", 1)
		return refusal.New(refusal.Unauthenticated, "an owner's key is required as a bearer token")
	case a == nil:
		meter.Count("entry.unauthenticated.unknown_key", 1)
		return refusal.New(refusal.Unauthenticated, "the key belongs to no owner")
	case owner != "" && a.Name() != owner:
		meter.Count("entry.unauthenticated.other_owner", 1)
		return refusal.New(refusal.Unauthenticated, "the key does not belong to owner %q", owner)
	}
	return nil
}

// checkKeyBeforeBody marks a request without a known key, so that handle refuses it.
// fasthttp calls handle only when the first 8 KB of a body have arrived, so a marked
// request gets an empty body.
func (s *Server) checkKeyBeforeBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	defer func() {
		// handle checks the key again and turns the same panic into a refusal.
		if violation, ok := recover().(invariant.Violation); ok {
			panic(violation)
		}
	}()
	if h.ContentLength() != 0 && needsKey(h.RequestURI()) && s.e.identify(requestKey(h), "") != nil {
		h.SetMethod(methodRefused)
		h.SetContentLength(0)
		h.Del(fasthttp.HeaderExpect)
	}
	return fasthttp.RequestConfig{}
}

// The paths of the interface whose requests need a key.
const (
	pathQuery = "/v1/query"
	pathRun   = "/v1/run"
)

// needsKey reports whether requests for a URI need a key.
func needsKey(uri []byte) bool {
	path, _, _ := bytes.Cut(uri, []byte("?"))
	return string(path) == pathQuery || string(path) == pathRun
}

// refuseBeforeBody refuses a marked request, whose body may still arrive, and ends
// its connection.
func (s *Server) refuseBeforeBody(c *fasthttp.RequestCtx, path string) {
	err := s.e.identify(requestKey(&c.Request.Header), "")
	if err == nil { // The key took effect meanwhile, but the body is lost.
		err = refusal.New(refusal.Unauthenticated, "the key was not in force when the request arrived")
	}
	if path == pathRun {
		err = unknownRun(err)
	}
	writeUnauthenticated(c, "", err)
	c.SetConnectionClose()
	var answer bytes.Buffer
	if _, err := c.Response.WriteTo(&answer); err != nil {
		return // Writing to a buffer does not fail; the answer is then sent without lingering.
	}
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		if conn.SetDeadline(time.Now().Add(lingerTime)) != nil {
			return
		}
		if _, err := conn.Write(answer.Bytes()); err == nil {
			_, _ = io.CopyN(io.Discard, conn, maxDiscardBytes) // Ends at the deadline at the latest.
		}
	})
}

// writeUnauthenticated writes a refusal for want of a key.
func writeUnauthenticated(c *fasthttp.RequestCtx, id string, err error) {
	c.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, bearer.Scheme)
	writeRefusal(c, id, err)
}

// unknownRun returns a refusal of a non-idempotent request that does not state
// whether the request ran. It may be a resend, and its first send may have had a key
// that was valid then.
func unknownRun(err error) error { return refusal.FromError(err).WithRan(refusal.Unknown) }
