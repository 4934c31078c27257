package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
	"unicode/utf8"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/refusal"
)

type queryBody struct {
	ID         string          `json:"id"`
	Owner      string          `json:"owner"`
	Class      string          `json:"class"`
	Service    string          `json:"service"`
	Route      string          `json:"route"`
	DeadlineMS int64           `json:"deadline_ms"`
	Limit      int             `json:"limit"`
	Body       json.RawMessage `json:"body"`
}

type runBody struct {
	ID         string          `json:"id"`
	Owner      string          `json:"owner"`
	Class      string          `json:"class"`
	Service    string          `json:"service"`
	Route      string          `json:"route"`
	DeadlineMS int64           `json:"deadline_ms"`
	Ticket     *ticketBody     `json:"ticket"`
	Body       json.RawMessage `json:"body"`
}

type ticketBody struct {
	Incarnation string `json:"incarnation"`
	IssuedMS    int64  `json:"issued_ms"`
}

func decodeQuery(data []byte) (Query, error) {
	var b queryBody
	if err := decodeStrict(data, &b); err != nil {
		return Query{}, err
	}
	return b.query()
}

func decodeRun(data []byte) (Run, error) {
	var b runBody
	if err := decodeStrict(data, &b); err != nil {
		return Run{}, err
	}
	q, err := queryBody{
		ID: b.ID, Owner: b.Owner, Class: b.Class, Service: b.Service, Route: b.Route,
		DeadlineMS: b.DeadlineMS, Body: b.Body,
	}.query()
	switch {
	case err != nil:
		return Run{Query: q}, err
	case b.Ticket == nil:
		return Run{Query: q}, refusal.New(refusal.Malformed, "ticket: missing")
	case b.Ticket.IssuedMS <= 0:
		return Run{Query: q}, refusal.New(refusal.Malformed, "ticket.issued_ms: %d is not positive", b.Ticket.IssuedMS)
	}
	if err := checkName("ticket.incarnation", b.Ticket.Incarnation); err != nil {
		return Run{Query: q}, err
	}
	return Run{Query: q, ticket: Ticket{
		incarnation: b.Ticket.Incarnation,
		issued:      time.UnixMilli(b.Ticket.IssuedMS),
	}}, nil
}

func decodeStrict(data []byte, dst any) error {
	if len(data) > maxBodyBytes {
		return refusal.New(refusal.TooLarge, "request body has %d bytes, the limit is %d", len(data), maxBodyBytes)
	}
	if !utf8.Valid(data) {
		return refusal.New(refusal.Malformed, "request body is not valid UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return refusal.New(refusal.Malformed, "request body is not valid JSON for this endpoint: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return refusal.New(refusal.Malformed, "unexpected data follows the JSON value at byte %d", dec.InputOffset())
	}
	return nil
}

// query validates the fields and applies the defaults. Unless the identifier
// itself is invalid, the Query carries it even with an error, so that the
// refusal can name it.
func (b queryBody) query() (Query, error) {
	q := Query{
		id: b.ID, owner: b.Owner, class: catalogue.Class(b.Class), service: b.Service, route: b.Route,
		deadline: time.Duration(b.DeadlineMS) * time.Millisecond, limit: b.Limit, body: b.Body,
	}
	if err := checkName("id", b.ID); err != nil {
		return Query{}, err
	}
	for _, f := range []struct{ path, value string }{
		{"owner", b.Owner}, {"class", b.Class}, {"service", b.Service}, {"route", b.Route},
	} {
		if err := checkName(f.path, f.value); err != nil {
			return q, err
		}
	}
	if q.limit == 0 {
		q.limit = defaultHits
	}
	if b.DeadlineMS == 0 {
		q.deadline = defaultDeadline
	}
	switch {
	case !q.class.Valid():
		return q, refusal.New(refusal.Malformed, "class: %q is not a known class", b.Class)
	case b.DeadlineMS < 0 || b.DeadlineMS > maxDeadline.Milliseconds():
		return q, refusal.New(refusal.Malformed, "deadline_ms: %d is not between 0 and %d", b.DeadlineMS, maxDeadline.Milliseconds())
	case q.limit < 0 || q.limit > maxHits:
		return q, refusal.New(refusal.Malformed, "limit: %d is not between 0 and %d", b.Limit, maxHits)
	}
	return q, nil
}

// checkName accepts only printable ASCII without spaces, because names are sent
// in headers of the target protocol. The path is the name of the JSON field.
func checkName(path, s string) error {
	if s == "" {
		return refusal.New(refusal.Malformed, "%s: missing", path)
	}
	if len(s) > maxNameBytes {
		return refusal.New(refusal.Malformed, "%s: %d bytes, the limit is %d", path, len(s), maxNameBytes)
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return refusal.New(refusal.Malformed, "%s: byte %d is not printable ASCII", path, i)
		}
	}
	return nil
}
