// Package store defines the interface to the platform's object store, which holds
// versioned objects and supports conditional writes and watches. HTTP is the client
// of the store's HTTP API, and Counted is a wrapper that counts every call.
package store
