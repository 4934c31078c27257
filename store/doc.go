// Package store is the interface to the platform's object store, with its HTTP
// adapter and a wrapper that counts every call.
package store
