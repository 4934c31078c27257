package account

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest decodes a digest in hexadecimal notation. It returns false if the
// text is not a digest.
func ParseDigest(text string) (Digest, bool) {
	var d Digest
	if len(text) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

// String returns the digest in hexadecimal notation.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// shortLength is the number of hexadecimal digits by which texts name a key.
// They suffice to find the key in a configuration and do not reveal it.
const shortLength = 8

// Short returns the first digits of the digest, by which people name a key.
func (d Digest) Short() string { return d.String()[:shortLength] }
