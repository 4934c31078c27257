package cell

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/catalogue/publish"
)

// Guards against a stored form that differs from that of package publish: all fields
// must survive decoding, transfer to a peer and encoding.
func TestDocumentStoredForm(t *testing.T) {
	applied := time.Date(2026, 3, 1, 7, 30, 0, 250_000_000, time.UTC)
	current := publish.NewCurrent(publish.CurrentSpec{
		Generation: 3, Token: "token", Text: "text <&>", Author: "author", Applied: applied,
	})
	value, err := current.Encode()
	if err != nil {
		t.Fatal(err)
	}
	d, err := DecodeDocument(value)
	want := Document{Generation: 3, Token: "token", Text: "text <&>", Author: "author", Time: applied}
	if err != nil || d != want {
		t.Fatalf("decoded %+v, %v; want %+v", d, err, want)
	}
	if d, err = documentOf(d.wire()); err != nil || d != want {
		t.Errorf("after transfer to a peer %+v, %v; want %+v", d, err, want)
	}
	if value, err = d.Encode(); err != nil {
		t.Fatal(err)
	}
	if back, err := publish.Decode(value); err != nil || back != current {
		t.Errorf("decoded by publish %+v, %v; want %+v", back, err, current)
	}
}
