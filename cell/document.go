package cell

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// CatalogueKey is the store key of the configuration.
const CatalogueKey = "catalogue/current"

const (
	// maxObject is the store's limit of a value in bytes.
	maxObject = 1 << 20
	// maxName bounds names, tokens and addresses in bytes.
	maxName = 256
)

// Document is the stored configuration, as the object catalogue/current holds it.
type Document struct {
	Generation uint64    `json:"generation"`
	Token      string    `json:"token"`
	Text       string    `json:"text"`
	Author     string    `json:"author"`
	Time       time.Time `json:"time"`
}

// DecodeDocument reads and checks the value of catalogue/current.
func DecodeDocument(value []byte) (Document, error) {
	var d Document
	if len(value) > maxObject {
		return d, eris.Errorf("configuration has %d bytes, the limit is %d", len(value), maxObject)
	}
	if err := json.Unmarshal(value, &d); err != nil {
		return d, eris.Wrap(err, "configuration is not valid JSON")
	}
	return d, d.check()
}

// Encode returns the value of catalogue/current.
func (d Document) Encode() ([]byte, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	value, err := json.Marshal(d)
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
		return eris.New("configuration has no token, or a token or author that is too long")
	case len(d.Text) > maxObject:
		return eris.Errorf("configuration text has %d bytes, the limit is %d", len(d.Text), maxObject)
	}
	return nil
}
