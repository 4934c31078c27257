// Package bearer guards an HTTP interface with one shared key, sent as a
// bearer token. It authenticates but does not encrypt.
package bearer
