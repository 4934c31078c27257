package load

import (
	"io"
	"os"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Stdin is the path that stands for the standard input.
const Stdin = "-"

// Files reads each path; Stdin reads stdin. A file longer than
// syntax.MaxText is refused without being read whole.
func Files(paths []string, stdin io.Reader) ([]Source, error) {
	var sources []Source
	for _, path := range paths {
		s, err := file(path, stdin)
		if err != nil {
			return nil, err
		}
		sources = append(sources, s)
	}
	return sources, nil
}

func file(path string, stdin io.Reader) (Source, error) {
	if path == Stdin {
		return read("stdin", stdin)
	}
	f, err := os.Open(path)
	if err != nil {
		return Source{}, eris.Wrap(err, "read catalogue")
	}
	defer func() { _ = f.Close() }()
	return read(path, f)
}

func read(name string, r io.Reader) (Source, error) {
	text, err := io.ReadAll(io.LimitReader(r, syntax.MaxText+1))
	if err != nil {
		return Source{}, eris.Wrapf(err, "read catalogue %s", name)
	}
	if len(text) > syntax.MaxText {
		return Source{}, eris.Errorf("%s is longer than %d bytes, the most that fits in the store's object", name, syntax.MaxText)
	}
	return Source{name: name, text: text}, nil
}
