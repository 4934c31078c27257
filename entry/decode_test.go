package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"medlaryard.example/medlaryard/refusal"
)

const (
	validQuery = `{"id":"q1","owner":"desk","class":"interactive","service":"songs","route":"chorus","deadline_ms":200,"limit":5,"body":{"text":"la"}}`
	validRun   = `{"id":"r1","owner":"desk","class":"batch","service":"queue","route":"add","deadline_ms":200,"ticket":{"incarnation":"ab12","issued_ms":1700000000000},"body":"x"}`
)

// Guards against a malformed request that is accepted, and against a refusal of
// the wrong kind or without the name of the invalid field.
func TestDecodeRefusals(t *testing.T) {
	replace := func(s, old, with string) string { return strings.Replace(s, old, with, 1) }
	for name, c := range map[string]struct {
		body string
		kind refusal.Kind
		path string
	}{
		"valid":           {validQuery, refusal.None, ""},
		"empty":           {"", refusal.Malformed, ""},
		"unknown field":   {replace(validQuery, `"limit"`, `"limits"`), refusal.Malformed, "limits"},
		"trailing data":   {validQuery + "{}", refusal.Malformed, "follows"},
		"no id":           {replace(validQuery, `"q1"`, `""`), refusal.Malformed, "id"},
		"long id":         {replace(validQuery, "q1", strings.Repeat("x", maxNameBytes+1)), refusal.Malformed, "id"},
		"space in id":     {replace(validQuery, "q1", "q 1"), refusal.Malformed, "id"},
		"line in route":   {replace(validQuery, "chorus", `a\nb`), refusal.Malformed, "route"},
		"class":           {replace(validQuery, "interactive", "urgent"), refusal.Malformed, "class"},
		"deadline":        {replace(validQuery, "200", "-1"), refusal.Malformed, "deadline_ms"},
		"long deadline":   {replace(validQuery, "200", "9000000000000000000"), refusal.Malformed, "deadline_ms"},
		"limit":           {replace(validQuery, `"limit":5`, `"limit":1001`), refusal.Malformed, "limit"},
		"not UTF-8":       {replace(validQuery, "la", "\xff"), refusal.Malformed, "UTF-8"},
		"size":            {replace(validQuery, "la", strings.Repeat("l", maxBodyBytes)), refusal.TooLarge, ""},
		"ticket in query": {replace(validQuery, `"limit":5`, `"ticket":{}`), refusal.Malformed, "ticket"},
	} {
		_, err := decodeQuery([]byte(c.body))
		checkRefusal(t, name, err, c.kind, c.path)
	}
	for name, c := range map[string]struct {
		body string
		kind refusal.Kind
		path string
	}{
		"valid":          {validRun, refusal.None, ""},
		"no ticket":      {replace(validRun, `"ticket":{"incarnation":"ab12","issued_ms":1700000000000},`, ""), refusal.Malformed, "ticket"},
		"no incarnation": {replace(validRun, `"ab12"`, `""`), refusal.Malformed, "ticket.incarnation"},
		"no time":        {replace(validRun, "1700000000000", "0"), refusal.Malformed, "ticket.issued_ms"},
	} {
		_, err := decodeRun([]byte(c.body))
		checkRefusal(t, "run: "+name, err, c.kind, c.path)
	}
}

func checkRefusal(t *testing.T, name string, err error, kind refusal.Kind, path string) {
	t.Helper()
	if kind == refusal.None {
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		return
	}
	var e *refusal.Error
	if !errors.As(err, &e) || e.Kind() != kind || e.Ran() != refusal.NotRun || !strings.Contains(e.Detail(), path) {
		t.Errorf("%s: got %v, want kind %s with %q", name, err, kind, path)
	}
}

// Guards against a panic of the decoder, and against an accepted request that
// violates a limit.
func FuzzDecodeQuery(f *testing.F) {
	for _, s := range []string{validQuery, `{}`, `[]`, `{"id":"\u0000"}`, `{"id":"a","deadline_ms":1e3}`, validQuery + " "} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		q, err := decodeQuery(data)
		if err == nil {
			checkBounds(t, q)
		}
	})
}

// Guards against a panic of the decoder of non-idempotent requests, and against an
// accepted request that violates a limit.
func FuzzDecodeRun(f *testing.F) {
	for _, s := range []string{validRun, validQuery, `{"ticket":null}`, `{"id":"a","ticket":{"issued_ms":-1}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRun(data)
		if err != nil {
			return
		}
		checkBounds(t, r.Query)
		if r.ticket.incarnation == "" || r.ticket.issued.UnixMilli() <= 0 {
			t.Errorf("accepted ticket %+v", r.ticket)
		}
	})
}

func checkBounds(t *testing.T, q Query) {
	for _, s := range []string{q.id, q.owner, q.service, q.route} {
		if s == "" || len(s) > maxNameBytes || strings.ContainsAny(s, " \r\n\x00") {
			t.Errorf("accepted name %q", s)
		}
	}
	if !q.class.Valid() || q.limit < 1 || q.limit > maxHits || q.deadline <= 0 || q.deadline > maxDeadline {
		t.Errorf("accepted %+v", q)
	}
	if len(q.body) > 0 && !json.Valid(q.body) {
		t.Errorf("accepted body %q", q.body)
	}
}

// Guards against invalid JSON in an answer whose payload is not JSON.
func TestAnswerOpaquePayload(t *testing.T) {
	for _, data := range []string{"", `{"a":1}`, "\xff\x00", `"text"`} {
		raw := rawJSON([]byte(data))
		if len(raw) > 0 && !json.Valid(raw) {
			t.Errorf("payload %q is encoded as %s", data, raw)
		}
	}
	if got := fmt.Sprintf("%s", rawJSON([]byte("\xff\x00"))); got != `"/wA="` {
		t.Errorf("binary payload is encoded as %s", got)
	}
}
