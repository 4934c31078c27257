// Package responsetest has a server of raw bytes, for tests of clients.
package responsetest
