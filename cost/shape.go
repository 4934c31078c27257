package cost

import (
	"math/bits"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxPieces bounds the path segments and the query parameters that a shape
// contains.
const maxPieces = 12

// Shape identifies requests of a route that look alike, coarsely and with the words
// of the path.
type Shape struct{ form, words uint64 }

// ShapeOf returns the shape of a request: the size class of the body, the number
// of path segments with the form of each, and the names of the query parameters
// with the form of their values. Classes are powers of two. Identifiers are not part
// of a shape, only their lengths are, so that the number of shapes stays small.
// Segments that consist of letters may be words, which name what is asked for, or
// identifiers; they tell shapes apart only in a second step.
func ShapeOf(uri string, bodyBytes int) Shape {
	path, query, _ := strings.Cut(uri, "?")
	b, words := make([]byte, 0, 64), make([]byte, 0, 64)
	b = append(b, byte(bits.Len(uint(bodyBytes))))
	for segment := range limited(strings.SplitSeq(path, "/")) {
		b = appendForm(append(b, '/'), segment)
		if isWord(segment) {
			words = append(append(words, '/'), segment...)
		}
	}
	for parameter := range limited(strings.SplitSeq(query, "&")) {
		name, value, _ := strings.Cut(parameter, "=")
		b = appendForm(append(append(b, '&'), name...), value)
	}
	return Shape{form: xxhash.Sum64(b), words: xxhash.Sum64(append(words, b...))}
}

// isWord reports whether a path segment consists of letters only.
func isWord(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return (r|0x20) < 'a' || (r|0x20) > 'z' }) < 0
}

// appendForm appends the magnitude of a number or the size class of another text.
func appendForm(b []byte, s string) []byte {
	if n, err := strconv.ParseUint(s, 10, 64); err == nil {
		return append(b, 'n', byte(bits.Len64(n)))
	}
	return append(b, 't', byte(bits.Len(uint(len(s)))))
}

// limited returns the first maxPieces values of seq.
func limited(seq func(yield func(string) bool)) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		n := 0
		seq(func(s string) bool {
			n++
			return n <= maxPieces && yield(s)
		})
	}
}
