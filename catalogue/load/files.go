package load

import (
	"io"
	"os"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Stdin is the path that selects standard input.
const Stdin = "-"

// Files reads each path; the path Stdin reads from stdin. For a file longer than
// syntax.MaxTextBytes it returns an error without reading the rest of the file.
func Files(paths []string, stdin io.Reader) ([]Source, error) {
	var sources []Source
	for _, path := range paths {
		s, err := readFile(path, stdin)
		if err != nil {
			return nil, err
		}
		sources = append(sources, s)
	}
	return sources, nil
}

func readFile(path string, stdin io.Reader) (Source, error) {
	if path == Stdin {
		return readSource("stdin", stdin)
	}
	f, err := os.Open(path)
	if err != nil {
		return Source{}, eris.Wrap(err, "read catalogue")
	}
	defer func() { _ = f.Close() }()
	return readSource(path, f)
}

func readSource(name string, r io.Reader) (Source, error) {
	text, err := io.ReadAll(io.LimitReader(r, syntax.MaxTextBytes+1))
	if err != nil {
		return Source{}, eris.Wrapf(err, "read catalogue %s", name)
	}
	if len(text) > syntax.MaxTextBytes {
		return Source{}, eris.Errorf("catalogue %s is longer than %d bytes, the maximum that fits in the store's object", name, syntax.MaxTextBytes)
	}
	return Source{name: name, text: text}, nil
}
