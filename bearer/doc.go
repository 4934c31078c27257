// Package bearer authenticates HTTP requests by one shared key, which clients send
// as a bearer token. It does not encrypt: the key is sent in clear text unless the
// connection is encrypted. Key returns the token of a request whose key is checked
// elsewhere.
package bearer
