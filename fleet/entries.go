package fleet

import "google.golang.org/protobuf/encoding/protowire"

// maxEntries bounds the entries of all lists and maps in a datagram. Each takes a hundred
// bytes or more once it is decoded, also if it takes two in the datagram.
const maxEntries = 4096

// countEntries returns the number of nested messages in an encoded heartbeat, which are the
// entries of its lists and maps. It returns a negative number if the encoding is malformed.
func countEntries(b []byte) int {
	n := 0
	for len(b) > 0 {
		_, kind, size := protowire.ConsumeField(b)
		if size < 0 {
			return size
		}
		if kind == protowire.BytesType {
			n++
		}
		b = b[size:]
	}
	return n
}

// decodable reports whether a datagram may be decoded: its lists are of a size that heartbeats
// have.
func decodable(b []byte) bool {
	n := countEntries(b)
	return n >= 0 && n <= maxEntries
}
