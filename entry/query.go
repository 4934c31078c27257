package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"medlaryard.example/medlaryard/catalogue"
)

// Query is a decoded and validated request of a caller.
type Query struct {
	id       string
	owner    string
	class    catalogue.Class
	service  string
	route    string
	deadline time.Duration
	limit    int
	body     []byte
}

// Fingerprint returns the hash of service, route and body. It identifies equal
// requests, so that requests that crash searchers are recognised.
func (q Query) Fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{q.service, q.route} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.body)
	return d.Sum64()
}
