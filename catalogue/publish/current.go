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
	// Token is unique to the change that wrote the object.
	Token string
	// Text is the catalogue as its author wrote it.
	Text string
	// Author names who applied it.
	Author string
	// Applied is the wall time of the change, to the millisecond.
	Applied time.Time
}

// Current is the content of the catalogue object. The zero value stands for an
// object that does not exist yet.
type Current struct {
	spec CurrentSpec
}

// NewCurrent returns the immutable Current that spec describes.
func NewCurrent(spec CurrentSpec) Current { return Current{spec: spec} }

// Generation grows by one with every accepted change; 0 means that none was applied yet.
func (c Current) Generation() uint64 { return c.spec.Generation }

// Token is unique to the change that wrote the object.
func (c Current) Token() string { return c.spec.Token }

// Text is the catalogue as its author wrote it.
func (c Current) Text() string { return c.spec.Text }

// Author names who applied it.
func (c Current) Author() string { return c.spec.Author }

// Applied is the wall time of the change.
func (c Current) Applied() time.Time { return c.spec.Applied }

// Estate checks the text and returns the estate that it declares.
func (c Current) Estate() (catalogue.Estate, error) {
	return evaluate.Text(Key, []byte(c.spec.Text), c.spec.Generation)
}

// object is the stored form.
type object struct {
	Generation    uint64 `json:"generation"`
	Token         string `json:"token"`
	Text          string `json:"text"`
	Author        string `json:"author"`
	AppliedUnixMS int64  `json:"applied_unix_ms"`
}

// Encode returns the stored form of c.
func (c Current) Encode() ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	// Escaping <, > and & would lengthen the text for no reader's benefit.
	enc.SetEscapeHTML(false)
	err := enc.Encode(object{
		Generation:    c.spec.Generation,
		Token:         c.spec.Token,
		Text:          c.spec.Text,
		Author:        c.spec.Author,
		AppliedUnixMS: c.spec.Applied.UnixMilli(),
	})
	return bytes.TrimSpace(out.Bytes()), eris.Wrap(err, "encode catalogue object")
}

// Decode reads the stored form.
func Decode(value []byte) (Current, error) {
	var o object
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

// FromObject is Decode for an object of the store.
func FromObject(o store.Object) (Current, error) { return Decode(o.Value()) }
