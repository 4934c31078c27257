package load

import (
	"bytes"
)

// Source is one catalogue text with the file name that positions refer to.
type Source struct {
	name string
	text []byte
}

// Text returns a Source for a text in memory, for example one read from the store.
func Text(name string, text []byte) Source { return Source{name: name, text: text} }

// Name is the file name that positions refer to.
func (s Source) Name() string { return s.name }

// Text returns the bytes of the text. The caller must not modify them.
func (s Source) Text() []byte { return s.text }

// Join returns one text in which each source is a YAML document. A single source
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
