package publish

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/evaluate"
	"medlaryard.example/medlaryard/store"
)

// Key is the key of the catalogue object.
const Key = "catalogue/current"

// CurrentSpec holds the values that NewCurrent takes.
type CurrentSpec struct {
	// Generation grows by one with every accepted change; the first is 1.
	Generation uint64
	// Token identifies the change that wrote the object.
	Token string
	// Text is the catalogue as its author wrote it.
	Text string
	// Author names the operator who applied the catalogue.
	Author string
	// Applied is the wall time of the change, to the millisecond.
	Applied time.Time
}

// Current is the content of the catalogue object. The zero value represents an
// object that does not exist yet.
type Current struct {
	spec CurrentSpec
}

// NewCurrent returns the immutable Current that spec describes.
func NewCurrent(spec CurrentSpec) Current { return Current{spec: spec} }

// Generation grows by one with every accepted change; 0 means that none was applied yet.
func (c Current) Generation() uint64 { return c.spec.Generation }

// Token identifies the change that wrote the object.
func (c Current) Token() string { return c.spec.Token }

// Text is the catalogue as its author wrote it.
func (c Current) Text() string { return c.spec.Text }

// Author names the operator who applied the catalogue.
func (c Current) Author() string { return c.spec.Author }

// Applied is the wall time of the change, to the millisecond.
func (c Current) Applied() time.Time { return c.spec.Applied }

// Estate checks the text and returns the estate that it declares. The error is a
// *syntax.Problems.
func (c Current) Estate() (catalogue.Estate, error) {
	return evaluate.Text(Key, []byte(c.spec.Text), c.spec.Generation)
}

// storedObject is the JSON form of Current in the store.
type storedObject struct {
	Generation    uint64 `json:"generation"`
	Token         string `json:"token"`
	Text          string `json:"text"`
	Author        string `json:"author"`
	AppliedUnixMS int64  `json:"applied_unix_ms"`
}

// Encode returns the JSON form of c.
func (c Current) Encode() ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	// No reader needs <, > and & escaped, and escaping would lengthen the text.
	enc.SetEscapeHTML(false)
	err := enc.Encode(storedObject{
		Generation:    c.spec.Generation,
		Token:         c.spec.Token,
		Text:          c.spec.Text,
		Author:        c.spec.Author,
		AppliedUnixMS: c.spec.Applied.UnixMilli(),
	})
	return bytes.TrimSpace(out.Bytes()), eris.Wrap(err, "encode catalogue object")
}

// Decode parses the JSON form that Encode returns. The generation must be at least 1
// and the token must not be empty.
func Decode(value []byte) (Current, error) {
	var o storedObject
	if err := json.Unmarshal(value, &o); err != nil {
		return Current{}, eris.Wrapf(err, "decode object %s", Key)
	}
	if o.Generation == 0 || o.Token == "" {
		return Current{}, eris.Errorf("object %s has generation %d and token %q, expected a generation from 1 and a token", Key, o.Generation, o.Token)
	}
	return NewCurrent(CurrentSpec{
		Generation: o.Generation,
		Token:      o.Token,
		Text:       o.Text,
		Author:     o.Author,
		Applied:    time.UnixMilli(o.AppliedUnixMS).UTC(),
	}), nil
}

// FromObject decodes the value of a store object.
func FromObject(o store.Object) (Current, error) { return Decode(o.Value()) }
