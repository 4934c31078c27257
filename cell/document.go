package cell

import (
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue/publish"
)

// CatalogueKey is the store key of the configuration.
const CatalogueKey = publish.Key

const (
	// maxObject is the store's limit for a value, in bytes.
	maxObject = 1 << 20
	// maxName limits names, tokens and addresses, in bytes.
	maxName = 256
)

// Document is the stored configuration. Package publish defines its stored form.
type Document struct {
	Generation uint64
	Token      string
	Text       string
	Author     string
	Time       time.Time // Wall time of the change, to the millisecond.
}

// DecodeDocument decodes and validates the value of the store key catalogue/current.
func DecodeDocument(value []byte) (Document, error) {
	if len(value) > maxObject {
		return Document{}, eris.Errorf("configuration has %d bytes, the limit is %d", len(value), maxObject)
	}
	c, err := publish.Decode(value)
	if err != nil {
		return Document{}, err
	}
	d := Document{
		Generation: c.Generation(), Token: c.Token(), Text: c.Text(), Author: c.Author(), Time: c.Applied(),
	}
	return d, d.check()
}

// Encode validates d and returns the value of the store key catalogue/current.
func (d Document) Encode() ([]byte, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	value, err := publish.NewCurrent(publish.CurrentSpec{
		Generation: d.Generation, Token: d.Token, Text: d.Text, Author: d.Author, Applied: d.Time,
	}).Encode()
	if err == nil && len(value) > maxObject {
		err = eris.Errorf("configuration has %d bytes, the limit is %d", len(value), maxObject)
	}
	return value, err
}

func (d Document) check() error {
	switch {
	case d.Generation == 0:
		return eris.New("configuration has no generation")
	case d.Token == "" || len(d.Token) > maxName || len(d.Author) > maxName:
		return eris.Errorf("configuration has a token of %d bytes and an author of %d bytes; the limits are 1 to %d and %d", len(d.Token), len(d.Author), maxName, maxName)
	case len(d.Text) > maxObject:
		return eris.Errorf("configuration text has %d bytes, the limit is %d", len(d.Text), maxObject)
	}
	return nil
}
