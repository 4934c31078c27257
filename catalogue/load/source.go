package load

import (
	"bytes"
)

// Source is one catalogue text with the name that stands in positions.
type Source struct {
	name string
	text []byte
}

// Text returns the Source of a text that is already in memory, for example
// from the store.
func Text(name string, text []byte) Source { return Source{name: name, text: text} }

// Name stands in positions.
func (s Source) Name() string { return s.name }

// Text returns the bytes, which must not be changed.
func (s Source) Text() []byte { return s.text }

// Join returns one text with each source as a YAML document. A single source
// is returned unchanged.
func Join(sources []Source) []byte {
	if len(sources) == 1 {
		return sources[0].text
	}
	var out bytes.Buffer
	for _, s := range sources {
		out.WriteString("---\n")
		out.Write(s.text)
		if !bytes.HasSuffix(s.text, []byte("\n")) {
			out.WriteByte('\n')
		}
	}
	return out.Bytes()
}
