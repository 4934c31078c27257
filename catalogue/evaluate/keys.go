package evaluate

import (
	"medlaryard.example/medlaryard/account"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// expectedKeyDigest describes the accepted values of key_digests.
const expectedKeyDigest = "the SHA-256 digest of a key as 64 hexadecimal digits in quotes"

// keyDigests reads the digests of an owner's API keys. Faults do not show the text,
// which may be a key.
func (e *evaluator) keyDigests(nodes []*syntax.Node) []account.Digest {
	var digests []account.Digest
	for _, n := range nodes {
		d, ok := account.ParseDigest(n.Scalar())
		switch {
		case !ok:
			e.problems.AddAt(n, expectedKeyDigest, "another value")
		case d == account.DigestOf(""):
			e.problems.AddAt(n, expectedKeyDigest, "the digest of an empty key")
		default:
			e.keys.declare(d.String(), n)
			digests = append(digests, d)
		}
	}
	return digests
}
